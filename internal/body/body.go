// Package body reads the bodies of requests into memory, within what callers may hold.
package body

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/grace"
	"vanillapond/internal/process/holdings"
)

// Errors of Read. After ErrNoRoom and ErrLate, the connection can't be read any further.
var (
	ErrTooLarge   = oops.Errorf("body is larger than allowed")
	ErrLate       = oops.Errorf("body came too late")
	ErrIncomplete = oops.Errorf("body is not whole")
	// ErrStopping is returned if the process stops before the body has arrived.
	ErrStopping = oops.Errorf("process stops before the body has arrived")
)

// Sizes of the blocks that hold a body, in bytes. They grow with what has arrived, so that a caller who sends little makes the process hold little.
const (
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
)

// spareBlocks holds blocks of maxBlock bytes of bodies that were given up, so that callers who never finish don't make garbage.
var spareBlocks = sync.Pool{New: func() any { return new([maxBlock]byte) }}

func newBlock(size int) []byte {
	if size == maxBlock {
		return spareBlocks.Get().(*[maxBlock]byte)[:]
	}
	return make([]byte, size)
}

// Config configures Read.
type Config struct {
	// Limit bounds the length of the body.
	Limit int64
	// Deadline is when the body must have arrived.
	Deadline time.Time
	// Grace ends the reading at its end; nil never does.
	Grace *grace.Period
	// Account bounds what all callers hold; nil bounds nothing.
	Account *holdings.Account
	// Copies is how often the body is in memory while its request is handled; 0 means once.
	Copies int
}

// Body is a complete body. A nil Body is an empty one.
type Body struct {
	// blocks are not modified once the body is complete.
	blocks  [][]byte
	length  int
	holding *holdings.Holding
	// released is set by Release and never cleared.
	released bool
}

// Read reads the body of a request. It ends early if the body has to make room for those of others; the error is then holdings.ErrNoRoom. Release must be
// called.
func Read(w http.ResponseWriter, r *http.Request, config Config) (*Body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	largest := config.Limit
	if config.Account != nil {
		largest = min(largest, int64(config.Account.Limits().Largest)/int64(max(config.Copies, 1)))
	}
	if r.ContentLength > largest {
		return nil, ErrTooLarge
	}
	control := http.NewResponseController(w)
	holding, err := open(config.Account, control, r, config.Deadline)
	if err != nil {
		return nil, err
	}
	stopWatching := context.AfterFunc(config.Grace.Ended(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer stopWatching()
	reading := reader{
		body: &Body{holding: holding}, source: r.Body, remaining: r.ContentLength, limit: largest, copies: holdings.Bytes(max(config.Copies, 1)),
	}
	if err := reading.run(); err != nil {
		// A holding that had to go ends the reading by its deadline.
		hadToGo := holding.Settle() != nil
		reading.body.recycle()
		holding.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) && config.Grace.Ended().Err() != nil {
			return nil, ErrStopping
		}
		return nil, readError(err, hadToGo)
	}
	if err := holding.Settle(); err != nil {
		holding.Close()
		return nil, err
	}
	stopWatching()
	// Once the body has been read to its end, net/http reads from the connection to detect that the caller disconnects.
	_ = control.SetReadDeadline(time.Time{})
	return reading.body, nil
}

// open opens the holding of a body that must arrive by the deadline. Reading the body fails once it has to go.
func open(account *holdings.Account, control *http.ResponseController, r *http.Request, deadline time.Time) (*holdings.Holding, error) {
	holding, err := account.Open(holdings.Body, r.RemoteAddr, 0, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	if err != nil {
		return nil, err
	}
	holding.CancelBy(r.Context().Done())
	_ = control.SetReadDeadline(deadline)
	return holding, nil
}

// readError returns the error of Read for an error of the connection or of the account.
func readError(err error, hadToGo bool) error {
	switch {
	case hadToGo, errors.Is(err, holdings.ErrNoRoom):
		return holdings.ErrNoRoom
	case errors.Is(err, ErrTooLarge):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrLate
	default:
		return oops.Wrapf(ErrIncomplete, "%v", err)
	}
}

// reader reads one body.
type reader struct {
	body   *Body
	source io.Reader
	// remaining is how many bytes are still due, negative if that is not known.
	remaining int64
	limit     int64
	copies    holdings.Bytes
}

func (r *reader) run() error {
	for size := firstBlock; r.remaining != 0; size = min(2*size, maxBlock) {
		if r.remaining > 0 {
			size = int(min(int64(size), r.remaining))
		}
		if err := r.body.holding.Grow(holdings.Bytes(size) * r.copies); err != nil {
			return err
		}
		block, err := r.fill(newBlock(size))
		if len(block) > 0 {
			r.body.blocks = append(r.body.blocks, block)
			r.body.length += len(block)
		}
		if int64(r.body.length) > r.limit {
			return ErrTooLarge
		}
		if errors.Is(err, io.EOF) && r.remaining < 0 {
			return nil
		}
		if err != nil {
			return err
		}
		if r.remaining > 0 {
			r.remaining -= int64(size)
		}
	}
	return r.readEnd()
}

// fill reads until the block is full or an error occurs, and returns the part that was read.
func (r *reader) fill(block []byte) ([]byte, error) {
	filled := 0
	for filled < len(block) {
		n, err := r.source.Read(block[filled:])
		filled += n
		r.body.holding.Move(holdings.Bytes(n))
		if err != nil && (filled < len(block) || r.remaining < 0) {
			return block[:filled], err
		}
	}
	return block, nil
}

// readEnd reads the end of a body with a length: net/http detects that the caller disconnects only after that.
func (r *reader) readEnd() error {
	if n, err := r.source.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return errors.Join(ErrIncomplete, err)
	}
	return nil
}

// recycle makes the blocks available for other bodies. Nothing else may refer to them.
func (b *Body) recycle() {
	for _, block := range b.blocks {
		if cap(block) == maxBlock {
			spareBlocks.Put((*[maxBlock]byte)(block[:maxBlock]))
		}
	}
	b.blocks = nil
}

// Len returns the length in bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// Blocks returns the bytes in order. They must not be modified.
func (b *Body) Blocks() [][]byte {
	if b == nil {
		return nil
	}
	return b.blocks
}

// Join returns the bytes in one piece, and keeps them so.
func (b *Body) Join() []byte {
	if b == nil || len(b.blocks) == 0 {
		return nil
	}
	if len(b.blocks) > 1 {
		b.blocks = [][]byte{bytes.Join(b.blocks, nil)}
	}
	return b.blocks[0]
}

// Release gives up the bytes, and the room that they took. It may be called more than once.
func (b *Body) Release() {
	if b == nil || b.released {
		return
	}
	b.released, b.blocks = true, nil
	b.holding.Close()
}

// IsReleased reports whether Release was called for a body that is not empty.
func (b *Body) IsReleased() bool { return b != nil && b.released }
