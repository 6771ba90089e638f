package router

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/table"
	"vanillapond/internal/request/forward"
	"vanillapond/pkg/ident"
)

// TestSuspectRowsOfOtherVersions guards against blocked requests that are forgotten in an upgrade: rows of the earlier version are read, and it reads those
// of this one.
func TestSuspectRowsOfOtherVersions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const agreed = 1_784_000_000_000
	decode := func(value string) ([]forward.Loss, error) {
		return decodeSuspect(table.Change{Row: table.Row{Key: suspectsTable + "/7", Value: []byte(value)}}, agreed)
	}
	losses, err := decode(`{"servers":["i-1","i-2","i-3"],"ends_unix_ms":1784000050000}`)
	is.NoErr(err)
	is.Equal(losses, []forward.Loss{
		{Digest: 7, Server: "i-1", AgeMS: 10_000}, {Digest: 7, Server: "i-2", AgeMS: 10_000}, {Digest: 7, Server: "i-3", AgeMS: 10_000},
	})
	written := []forward.Loss{
		{Digest: 7, Server: "i-1", AgeMS: 10_000, StartedUnixMS: 1, OpenedUnixMS: 2, BrokenUnixMS: 3},
		{Digest: 7, Server: "i-1", AgeMS: 10_000, StartedUnixMS: 4, OpenedUnixMS: 5, BrokenUnixMS: 6},
		{Digest: 7, Server: "i-1", AgeMS: 10_000, StartedUnixMS: 7, OpenedUnixMS: 8, BrokenUnixMS: 9},
	}
	value, err := json.Marshal(newSuspectRow(written, agreed+50_000))
	is.NoErr(err)
	losses, err = decode(string(value))
	is.NoErr(err)
	is.Equal(losses, written)
	var earlier struct {
		Servers    []ident.Endpoint `json:"servers"`
		EndsUnixMS int64            `json:"ends_unix_ms"`
	}
	is.NoErr(json.Unmarshal(value, &earlier))
	is.Equal(len(earlier.Servers), 3)
	is.Equal(earlier.EndsUnixMS, int64(agreed+50_000))
	for _, wrong := range []string{`{"servers":[],"ends_unix_ms":9}`, `{"servers":["a","b","c"],"losses":[{}],"ends_unix_ms":1784000050000}`} {
		_, err := decode(wrong)
		is.True(err != nil)
	}
}
