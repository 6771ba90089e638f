package table_test

import (
	"errors"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/table"
)

// TestRemovalAppliedLate guards against a removal that its caller has given up, and that removes a row written since.
func TestRemovalAppliedLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := table.NewMemory()
	write := table.Transaction{Writes: []table.Write{{Key: "a/1", Value: []byte("x")}}}
	is.NoErr(store.Commit(t.Context(), write))
	rows, err := store.Read(t.Context(), "a/1")
	is.NoErr(err)
	removal := table.Removal(rows)
	is.NoErr(store.Commit(t.Context(), write))
	is.True(errors.Is(store.Commit(t.Context(), removal), table.ErrConflict))
	rows, err = store.Read(t.Context(), "a/1")
	is.NoErr(err)
	is.NoErr(store.Commit(t.Context(), table.Removal(rows)))
	rows, err = store.Read(t.Context(), "a/1")
	is.NoErr(err)
	is.Equal(rows[0].Revision, table.Revision(0))
}

// TestRemovalFitsOneCall guards against rows that are never removed, because there are more than the service accepts in a call.
func TestRemovalFitsOneCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const maxEntries = 100
	rows := make([]table.Row, 1000)
	for index := range rows {
		rows[index] = table.Row{Key: table.Key("a/" + strconv.Itoa(index)), Revision: 1}
	}
	removal := table.Removal(rows)
	is.True(len(removal.Writes) > 0)
	is.True(len(removal.Checks)+len(removal.Writes) <= maxEntries)
}
