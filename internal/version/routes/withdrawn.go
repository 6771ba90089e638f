package routes

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"vanillapond/pkg/ident"
)

const (
	// maxWithdrawals bounds the withdrawn keys that are remembered.
	maxWithdrawals = 1024
	// digestBytes is the length of a key's digest.
	digestBytes = 8
)

// KeyDigest identifies a key in logs; the key can't be told from it.
type KeyDigest string

// Digest returns the digest of a key.
func Digest(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:digestBytes]))
}

// Withdrawal says who had a key that is no longer valid.
type Withdrawal struct {
	Customer ident.Customer
	// Version is the first configuration version that this process received without the key.
	Version ident.Version
}

// Withdrawal returns what is known of a key that the version does not hold, and whether an earlier one held it.
func (t *Table) Withdrawal(key KeyDigest) (Withdrawal, bool) {
	withdrawal, found := t.withdrawn[key]
	return withdrawal, found
}

// follow records which keys of the version before are withdrawn.
func (t *Table) follow(before *Table) {
	withdrawn := maps.Clone(before.withdrawn)
	if withdrawn == nil {
		withdrawn = make(map[KeyDigest]Withdrawal)
	}
	for key, customer := range before.customers {
		if t.customers[key] == nil {
			withdrawn[Digest(key)] = Withdrawal{customer.Name, t.version}
		}
	}
	for key := range t.customers {
		if before.customers[key] == nil {
			delete(withdrawn, Digest(key))
		}
	}
	t.withdrawn = newest(withdrawn)
}

// newest returns the most recent of the withdrawals, at most maxWithdrawals.
func newest(withdrawn map[KeyDigest]Withdrawal) map[KeyDigest]Withdrawal {
	if len(withdrawn) <= maxWithdrawals {
		return withdrawn
	}
	keys := slices.Collect(maps.Keys(withdrawn))
	slices.SortFunc(keys, func(a, b KeyDigest) int { return cmp.Compare(withdrawn[b].Version, withdrawn[a].Version) })
	for _, key := range keys[maxWithdrawals:] {
		delete(withdrawn, key)
	}
	return withdrawn
}
