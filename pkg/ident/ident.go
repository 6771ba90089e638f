// Package ident defines the types of identifiers and units that all packages share.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"

	"github.com/samber/oops"
)

// MaxLength is the maximum length of an identifier, in bytes.
const MaxLength = 128

// Partner identifies one of the organizations that run the deployment jointly.
type Partner string

// Customer identifies a tenant of a partner.
type Customer string

// Class identifies a request class.
type Class string

// Pool identifies a set of interchangeable endpoints.
type Pool string

// Endpoint identifies one backend, either a model engine or a plain service.
type Endpoint string

// Model identifies a language model.
type Model string

// FailureDomain identifies a part of a region whose machines may fail together.
type FailureDomain string

// Region identifies a set of failure domains that are close to one another.
type Region string

// Process identifies one process. It stays the same when the process or the VM in its slot is restarted.
type Process string

// Incarnation identifies one run of a process.
type Incarnation string

// Request identifies one request of a caller.
type Request string

// KeyDigest is the hexadecimal SHA-256 digest of a key.
type KeyDigest string

// Patch identifies one patch of the configuration.
type Patch string

// Window identifies a billing window by its start, in Unix seconds.
type Window int64

// Version is the version number of the configuration; it only increases.
type Version int64

// Software is the version of a server's software. Versions are only equal or different; they have no order.
type Software string

// Fence is a fencing number: each new holder of a lease gets a greater one, so that orders of earlier holders can be refused.
type Fence int64

// Tier is the service tier of a request class: a smaller number has a higher priority.
type Tier int

// Tokens is a number of prompt tokens or generated tokens.
type Tokens int64

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// DigestKey returns the digest under which a key is stored.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// Check returns an error unless name is a lower-case identifier of at most MaxLength bytes.
func Check[T ~string](field string, name T) error {
	if name == "" {
		return oops.Errorf("%s: found nothing, want a name of lower-case letters, digits, '.', '_' or '-'", field)
	}
	if len(name) > MaxLength {
		return oops.Errorf("%s: found %d bytes, want at most %d", field, len(name), MaxLength)
	}
	if !namePattern.MatchString(string(name)) {
		return oops.Errorf("%s: found %q, want lower-case letters, digits, '.', '_' or '-'", field, string(name))
	}
	return nil
}

// Check returns an error unless the digest is 64 hexadecimal digits in lower case.
func (d KeyDigest) Check() error {
	raw, err := hex.DecodeString(string(d))
	if err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != string(d) {
		return oops.Errorf("digest: found %d characters, want %d hexadecimal digits in lower case", len(d), 2*sha256.Size)
	}
	return nil
}
