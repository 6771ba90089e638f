package holdings

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeaveIsNotCalledAfterClose guards against a deadline that is set on a connection whose request has ended.
func TestLeaveIsNotCalledAfterClose(t *testing.T) {
	account := New(Config{Limits: Limits{Bytes: 1000, Largest: 1000, Connections: 4}})
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 500 {
				// The race detector finds a call of leave beside or after the write below.
				closed := false
				holding, err := account.Open(Connection, "peer", 100, func() {
					if closed {
						t.Error("leave was called after Close")
					}
				})
				if err != nil {
					continue
				}
				_ = holding.Grow(50)
				holding.Close()
				closed = true
			}
		})
	}
	running.Wait()
	is := is.New(t)
	is.Equal(account.Bytes(), Bytes(0))
	is.Equal(account.Connections(), 0)
}

// TestEvents checks what is observed of a holder that has to go, and of one that gets no room.
func TestEvents(t *testing.T) {
	is := is.New(t)
	var events []Event
	account := New(Config{
		Limits: Limits{Bytes: 1000, Largest: 2000, Connections: 4}, Observe: func(event Event) { events = append(events, event) },
	})
	left := 0
	first, err := account.Open(Body, "first", 600, func() { left++ })
	is.NoErr(err)
	second, err := account.Open(Body, "second", 600, func() { t.Error("the second has to go") })
	is.NoErr(err)
	is.NoErr(second.Settle())
	is.Equal(left, 1)
	is.Equal(first.Grow(1), ErrDismissed)
	is.Equal(first.Settle(), ErrDismissed)
	is.True(errors.Is(ErrDismissed, ErrNoRoom))
	first.Close()
	_, err = account.Open(Body, "third", 600, nil)
	is.Equal(err, ErrNoRoom)
	is.Equal(len(events), 2)
	is.Equal(events[0].Kind, Body)
	is.Equal(events[0].Peer, "first")
	is.Equal(events[0].Held, Bytes(600))
	is.True(!events[0].Refused)
	is.Equal(events[1].Peer, "third")
	is.True(events[1].Refused)
	second.Close()
	second.Close()
	is.Equal(account.Bytes(), Bytes(0))
}

// TestEndedHoldingsAreNotAwaited guards against waiting for what is closed late but holds little.
func TestEndedHoldingsAreNotAwaited(t *testing.T) {
	is := is.New(t)
	account := New(Config{Limits: Limits{Bytes: 1 << 20, Largest: 1 << 20, Connections: 1}})
	left := false
	first, err := account.Open(Connection, "", 1, func() { left = true })
	is.NoErr(err)
	is.NoErr(first.Settle())
	first.End()
	start := time.Now()
	second, err := account.Open(Connection, "", 1, func() {})
	is.NoErr(err)
	is.True(left)
	is.True(time.Since(start) < leaveTimeout/2)
	first.Close()
	is.Equal(account.Connections(), 1)
	second.Close()
	is.Equal(account.Connections(), 0)
}

// TestCanceledHoldingDoesNotWait guards against holdings that wait for each other: a body for a connection that had to go, and that connection for a body.
func TestCanceledHoldingDoesNotWait(t *testing.T) {
	is := is.New(t)
	account := New(Config{Limits: Limits{Bytes: 1000, Largest: 2000, Connections: 4}})
	leaving, err := account.Open(Body, "", 600, func() {})
	is.NoErr(err)
	waiting, err := account.Open(Body, "", 1, func() {})
	is.NoErr(err)
	canceled := make(chan struct{})
	waiting.CancelBy(canceled)
	start := time.Now()
	time.AfterFunc(20*time.Millisecond, func() { close(canceled) })
	is.Equal(waiting.Grow(500), ErrNoRoom)
	is.True(time.Since(start) < leaveTimeout/2)
	leaving.Close()
	waiting.Close()
	is.Equal(account.Bytes(), Bytes(0))
}

// TestNilAccountBoundsNothing checks that a process without limits needs no checks at the places that hold something.
func TestNilAccountBoundsNothing(t *testing.T) {
	is := is.New(t)
	var account *Account
	holding, err := account.Open(Body, "peer", 1<<40, nil)
	is.NoErr(err)
	is.NoErr(holding.Grow(1 << 40))
	is.NoErr(holding.Settle())
	holding.Move(1)
	holding.Shrink(0)
	holding.Close()
}
