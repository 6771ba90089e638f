package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// vmLists returns one response after the other and then repeats the last one; a nil response stands for a failed read.
type vmLists struct {
	responses [][]platform.VM
	// calls counts the reads.
	calls int
}

func (l *vmLists) VMs(context.Context) ([]platform.VM, error) {
	l.calls++
	response := l.responses[min(l.calls, len(l.responses))-1]
	if response == nil {
		return nil, table.ErrRefused
	}
	return response, nil
}

// watchFor runs Watch on the lists for a duration of fake time.
func watchFor(l *vmLists, duration time.Duration) *fleet.Fleet {
	f := fleet.New(fleet.Config{Events: event.New(event.Config{Process: "entry-1"})})
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	f.Watch(ctx, platform.NewCachedVMs(l, time.Now))
	f.Close()
	return f
}

func TestEntriesKeptWhileListUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, known := watchFor(&vmLists{responses: [][]platform.VM{nil}}, time.Minute).Entries()
		is.True(!known)
		listed := []platform.VM{
			{ID: "entry-1", Role: "entry"},
			{ID: "entry-2", Role: "entry", Draining: true},
			{ID: "vm-1", Role: "engine", Address: "127.0.0.1:1"},
		}
		entries, known := watchFor(&vmLists{responses: [][]platform.VM{listed, nil}}, time.Minute).Entries()
		is.True(known)
		is.Equal(entries, []ident.Process{"entry-1"})
	})
}

// TestLongListReadLessOften checks that a list of production size (2310 VMs) is read at most 32 times an hour, which
// bounds the network traffic per process, and that a short one is read about every 2 s.
func TestLongListReadLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const vms = 2310
		long := &vmLists{responses: [][]platform.VM{make([]platform.VM, vms)}}
		watchFor(long, time.Hour)
		is.True(long.calls <= 32)
		short := &vmLists{responses: [][]platform.VM{make([]platform.VM, 24)}}
		watchFor(short, time.Minute)
		is.True(short.calls >= 30)
	})
}
