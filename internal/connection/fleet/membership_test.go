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

// lists answers with one reading after the other, and is down where a reading is nil; then the last one stays.
type lists struct {
	readings [][]platform.VM
	// asked counts the calls.
	asked int
}

func (l *lists) VMs(context.Context) ([]platform.VM, error) {
	l.asked++
	reading := l.readings[min(l.asked, len(l.readings))-1]
	if reading == nil {
		return nil, table.ErrRefused
	}
	return reading, nil
}

// watch lets a fleet read the lists for a while in fake time.
func watch(l *lists, duration time.Duration) *fleet.Fleet {
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
		_, known := watch(&lists{readings: [][]platform.VM{nil}}, time.Minute).Entries()
		is.True(!known)
		listed := []platform.VM{
			{ID: "entry-1", Role: "entry"},
			{ID: "entry-2", Role: "entry", Draining: true},
			{ID: "vm-1", Role: "engine", Address: "127.0.0.1:1"},
		}
		entries, known := watch(&lists{readings: [][]platform.VM{listed, nil}}, time.Minute).Entries()
		is.True(known)
		is.Equal(entries, []ident.Process{"entry-1"})
	})
}

// TestLongListReadLessOften bounds what the list costs a node at the letter's size.
func TestLongListReadLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const vms = 2310
		long := &lists{readings: [][]platform.VM{make([]platform.VM, vms)}}
		watch(long, time.Hour)
		is.True(long.asked <= 32)
		short := &lists{readings: [][]platform.VM{make([]platform.VM, 24)}}
		watch(short, time.Minute)
		is.True(short.asked >= 30)
	})
}
