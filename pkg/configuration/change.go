package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Change records which entities an accepted patch changed.
type Change struct {
	Version ident.Version `json:"version"`
	Patch   ident.Patch   `json:"patch"`
	// Operator is the digest of the credential that submitted the patch.
	Operator ident.KeyDigest `json:"operator"`
	// Touched names the changed entities by list and id, as in keys/8ce6. Removals start with a minus sign.
	Touched []string `json:"touched"`
}

// String formats the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("version %d, patch %s: %s", c.Version, c.Patch, strings.Join(c.Touched, " "))
}

// StaleError says that the base of a patch is not the current version.
type StaleError struct {
	Base    ident.Version
	Current ident.Version
	// Changes are the changes after Base that are still stored, oldest first.
	Changes []Change
}

// Error implements error.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("base: found %d, want the current version %d", e.Base, e.Current)
	for _, change := range e.Changes {
		text += "\n  " + change.String()
	}
	return text
}

// Digest returns the hexadecimal SHA-256 digest of the patch. Only patches with the same content have the same digest.
func (p Patch) Digest() (string, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return "", oops.Wrapf(err, "encode patch")
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:]), nil
}

// Touched returns the entities that the patch sets and removes, in the form of Change.Touched.
func (p Patch) Touched() []string {
	var touched []string
	if p.Billing != nil {
		touched = append(touched, "billing")
	}
	touched = appendNames(touched, "partners", p.Set.Partners, p.Remove.Partners, partnerID)
	touched = appendNames(touched, "customers", p.Set.Customers, p.Remove.Customers, customerID)
	touched = appendNames(touched, "keys", p.Set.Keys, p.Remove.Keys, keyID)
	touched = appendNames(touched, "classes", p.Set.Classes, p.Remove.Classes, classID)
	touched = appendNames(touched, "pools", p.Set.Pools, p.Remove.Pools, poolID)
	return appendNames(touched, "endpoints", p.Set.Endpoints, p.Remove.Endpoints, endpointID)
}

// appendNames appends the names of the entities that a patch sets and removes in one list.
func appendNames[T any, K ~string](touched []string, list string, set []T, remove []K, id func(T) K) []string {
	for _, item := range set {
		touched = append(touched, list+"/"+string(id(item)))
	}
	for _, key := range remove {
		touched = append(touched, "-"+list+"/"+string(key))
	}
	return touched
}
