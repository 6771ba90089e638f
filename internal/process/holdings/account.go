package holdings

import (
	"sync"
	"time"

	"github.com/samber/oops"
)

// ErrNoRoom is returned while callers hold as much as they may. ErrDismissed is the ErrNoRoom of a holding that had to go before.
var (
	ErrNoRoom    = oops.Errorf("no room for what the caller sends")
	ErrDismissed = oops.Wrapf(ErrNoRoom, "had to go")
)

// Event describes a holder that had to go, or that got no room.
type Event struct {
	Kind Kind
	// Peer is the address of the caller, or of the server for a response.
	Peer string
	// Held is what it held, Age how long it was there, and Still how long it had not moved.
	Held       Bytes
	Age, Still time.Duration
	// Refused means that it got no room for more, otherwise it had to go for others.
	Refused bool
}

// Name returns the name of the event in logs and metrics.
func (e Event) Name() string {
	who, what := "caller", "dismissed"
	if e.Kind == Response {
		who = "response"
	}
	if e.Refused {
		what = "refused"
	}
	return who + "_" + what
}

// Config configures an Account.
type Config struct {
	Limits Limits
	// Observe is called for each event; nil is not called. It must neither block nor call the account.
	Observe func(Event)
}

// Account is a Ledger for goroutines. A nil Account bounds nothing.
type Account struct {
	config Config
	mu     sync.Mutex
	// ledger and holdings are guarded by mu.
	ledger   *Ledger
	holdings map[*Holder]*Holding
	// leaving is what those hold that had to go and are not closed yet; guarded by mu.
	leaving struct {
		bytes       Bytes
		connections int
	}
	// changed is closed, and replaced, when one has to go and when it is closed; guarded by mu.
	changed chan struct{}
}

// Holding is a holder of an Account; Close must be called. A nil Holding bounds nothing.
type Holding struct {
	account *Account
	holder  *Holder
	peer    string
	leave   func()
	// canceled ends waits of the holding; nil never does.
	canceled <-chan struct{}
	// dismissed is set from when the holding had to go until it is closed, and ending by End; both are guarded by the account's mu.
	dismissed, ending bool
}

// leaveTimeout bounds how long a holding waits for those that had to go: their memory is free only once their goroutines have ended.
const leaveTimeout = time.Second

// New returns an empty account.
func New(config Config) *Account {
	if config.Observe == nil {
		config.Observe = func(Event) {}
	}
	return &Account{config: config, ledger: NewLedger(config.Limits), holdings: make(map[*Holder]*Holding), changed: make(chan struct{})}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.config.Limits }

// Bytes returns the bytes that are held.
func (a *Account) Bytes() Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Bytes()
}

// Connections returns the number of connections that are held.
func (a *Account) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Connections()
}

// RetryAfter returns after which time a caller that got no room may come back.
func (a *Account) RetryAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.RetryAfter()
}

// Open opens a holding. leave is called at most once, if the holding has to go for others; it must neither block nor call the account, and has to make the
// owner call Close soon. Open waits a short time until those that had to go are closed. The error is ErrNoRoom.
func (a *Account) Open(kind Kind, peer string, bytes Bytes, leave func()) (*Holding, error) {
	if a == nil {
		return nil, nil
	}
	opened := a.open(kind, peer, bytes, leave)
	if opened == nil {
		return nil, ErrNoRoom
	}
	if bytes == 0 {
		return opened, nil
	}
	if err := opened.awaitFreed(); err != nil {
		opened.Close()
		return nil, err
	}
	return opened, nil
}

func (a *Account) open(kind Kind, peer string, bytes Bytes, leave func()) *Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	holder, toLeave := a.ledger.Open(now, kind, bytes)
	if holder == nil {
		a.config.Observe(Event{Kind: kind, Peer: peer, Refused: true})
		return nil
	}
	opened := &Holding{account: a, holder: holder, peer: peer, leave: leave}
	a.holdings[holder] = opened
	a.dismiss(now, toLeave)
	return opened
}

// dismiss tells holders that they have to go; the caller holds mu.
func (a *Account) dismiss(now time.Time, toLeave []*Holder) {
	for _, each := range toLeave {
		holding := a.holdings[each]
		delete(a.holdings, each)
		if !holding.ending {
			holding.dismissed = true
			a.leaving.bytes += each.left
			if each.kind == Connection {
				a.leaving.connections++
			}
		}
		a.config.Observe(holding.event(now, false))
		holding.leave()
	}
	if len(toLeave) > 0 {
		a.notify()
	}
}

// awaitFreed waits, at most for leaveTimeout, while those that had to go still hold what others were granted. The error is ErrDismissed if the holding itself
// has to go meanwhile, and ErrNoRoom if it was canceled.
func (h *Holding) awaitFreed() error {
	var timeout <-chan time.Time
	for {
		changed, err := h.overfull()
		if changed == nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(leaveTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-h.canceled:
			return ErrNoRoom
		case <-timeout:
			return nil
		}
	}
}

// overfull returns a channel that is closed when something changes, nil if nothing has to be freed, or if the holding itself has to go.
func (h *Holding) overfull() (<-chan struct{}, error) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case h.dismissed:
		return nil, ErrDismissed
	case a.leaving.bytes == 0 && a.leaving.connections == 0, a.ledger.fits(a.leaving.bytes, a.leaving.connections):
		return nil, nil
	default:
		return a.changed, nil
	}
}

// notify wakes those that wait; the caller holds mu.
func (a *Account) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// event describes the holding; the caller holds mu.
func (h *Holding) event(now time.Time, refused bool) Event {
	event := Event{
		Kind: h.holder.kind, Peer: h.peer, Held: h.holder.left, Age: now.Sub(h.holder.openedAt), Still: now.Sub(h.holder.pace.movedAt), Refused: refused,
	}
	if refused {
		event.Held = h.holder.bytes
	}
	return event
}

// CancelBy has Grow fail instead of waiting once the channel is closed. A body is canceled by the end of its connection: others may wait for that connection,
// which does not end while its body waits for them.
func (h *Holding) CancelBy(canceled <-chan struct{}) {
	if h != nil {
		h.canceled = canceled
	}
}

// Grow lets the holding hold more. It waits a short time until those that had to go are closed. The error is ErrNoRoom.
func (h *Holding) Grow(bytes Bytes) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	if err := h.grow(bytes); err != nil {
		return err
	}
	return h.awaitFreed()
}

func (h *Holding) grow(bytes Bytes) error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	now := time.Now()
	toLeave, ok := h.account.ledger.Grow(now, h.holder, bytes)
	switch {
	case ok:
		h.account.dismiss(now, toLeave)
		return nil
	case h.holder.index == gone:
		return ErrDismissed
	default:
		h.account.config.Observe(h.event(now, true))
		return ErrNoRoom
	}
}

// TryGrow lets the holding hold more if nothing has to go for that, and reports whether it did.
func (h *Holding) TryGrow(bytes Bytes) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.account.ledger.TryGrow(h.holder, bytes)
}

// Release lets the holding hold so many bytes less.
func (h *Holding) Release(bytes Bytes) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.ledger.Shrink(h.holder, max(h.holder.bytes-bytes, 0))
}

// Move records that bytes arrived.
func (h *Holding) Move(bytes Bytes) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.ledger.Move(time.Now(), h.holder, bytes)
}

// Settle keeps the holding from having to go; the error is ErrDismissed if it had to go before.
func (h *Holding) Settle() error { return h.settle(true) }

// Unsettle is the opposite of Settle.
func (h *Holding) Unsettle() error { return h.settle(false) }

func (h *Holding) settle(settled bool) error {
	if h == nil {
		return nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.account.ledger.Settle(h.holder, settled) {
		return ErrDismissed
	}
	return nil
}

// IsDismissed reports whether the holding had to go and is not closed yet.
func (h *Holding) IsDismissed() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.dismissed
}

// End says that little is left of the holding but an open connection: it may have to go for others, and nobody waits for it then.
func (h *Holding) End() {
	if h == nil {
		return
	}
	if h.Unsettle() != nil {
		h.Close()
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.ending = true
}

// Shrink lets the holding hold only so many bytes from now on.
func (h *Holding) Shrink(bytes Bytes) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.ledger.Shrink(h.holder, bytes)
}

// Close ends the holding; it may be called more than once. Once it has returned, leave is not called.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.ledger.Close(time.Now(), h.holder)
	delete(h.account.holdings, h.holder)
	if !h.dismissed {
		return
	}
	h.dismissed = false
	h.account.leaving.bytes -= h.holder.left
	if h.holder.kind == Connection {
		h.account.leaving.connections--
	}
	h.account.notify()
}
