package ident_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

// TestIncarnationsDiffer verifies that two VMs that were started as copies of each other, with the same clock and the same random
// source, get different incarnations. With the same incarnation, both acted as the holder of the same lease.
func TestIncarnationsDiffer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.UnixMilli(1_784_000_000_000)
	entropy := func(seed byte) *bytes.Reader { return bytes.NewReader(bytes.Repeat([]byte{seed}, 16)) }
	first, err := ident.NewIncarnation("entry-a", start, entropy(1))
	is.NoErr(err)
	for _, c := range []struct {
		process ident.Process
		start   time.Time
		seed    byte
	}{{"entry-b", start, 1}, {"entry-a", start.Add(time.Millisecond), 1}, {"entry-a", start, 2}} {
		other, err := ident.NewIncarnation(c.process, c.start, entropy(c.seed))
		is.NoErr(err)
		is.True(other != first)
	}
	_, err = ident.NewIncarnation("entry-a", start, bytes.NewReader(nil))
	is.True(err != nil)
}
