package routes

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// advance applies a version in which a customer has these keys.
func advance(current *Current, version ident.Version, keys ...string) {
	current.Advance(platform.Configuration{Version: version, Customers: []platform.Customer{{Name: "school", Keys: keys}}})
}

func TestWithdrawal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var current Current
	advance(&current, 3, "a", "b")
	_, found := current.Table().Withdrawal(Digest("a"))
	is.True(!found)
	advance(&current, 5, "b")
	advance(&current, 6, "b", "c")
	withdrawal, found := current.Table().Withdrawal(Digest("a"))
	is.True(found)
	is.Equal(withdrawal, Withdrawal{Customer: "school", Version: 5})
	_, found = current.Table().Withdrawal(Digest("never"))
	is.True(!found)
	advance(&current, 7, "a", "b")
	_, found = current.Table().Withdrawal(Digest("a"))
	is.True(!found) // the key is valid again
	withdrawal, found = current.Table().Withdrawal(Digest("c"))
	is.True(found)
	is.Equal(withdrawal.Version, ident.Version(7))
}

// TestWithdrawalsAreBounded checks that the keys that were withdrawn last are kept.
func TestWithdrawalsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var current Current
	keys := []string{"last"}
	for index := range maxWithdrawals {
		keys = append(keys, "old-"+strconv.Itoa(index))
	}
	advance(&current, 1, keys...)
	advance(&current, 2, "last")
	advance(&current, 3)
	is.Equal(len(current.Table().withdrawn), maxWithdrawals)
	_, found := current.Table().Withdrawal(Digest("last"))
	is.True(found)
}
