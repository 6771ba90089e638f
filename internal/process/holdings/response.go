package holdings

// FreeResponseBytes is how much of each response is not counted: the usual head, and what is read at once.
const FreeResponseBytes Bytes = 16 << 10

// BufferGrowth is the memory that a buffer takes at most while it grows, together with the former one, in relation to the bytes in it.
const BufferGrowth = 3

// responseMemoryDivisor sets the fraction of the process's memory that may be kept of responses: half of what callers may hold.
const responseMemoryDivisor = 2 * memoryDivisor

// NewResponseLimits returns the limits of what a process with so much memory keeps of responses; 0 means that the default applies.
func NewResponseLimits(memory Bytes) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	return Limits{Bytes: memory / responseMemoryDivisor, Largest: memory / responseMemoryDivisor}
}

// ResponseHolding is what is kept of one response before it is passed on; Close must be called. Its methods are called by one goroutine at a time.
type ResponseHolding struct {
	account *Account
	server  string
	leave   func()
	// head is what the head takes, if that is more than usual.
	head Bytes
	// holding is nil until more than FreeResponseBytes are kept.
	holding *Holding
	// counted is what holding holds.
	counted Bytes
}

// OpenResponse opens the holding of a server's response. leave is called at most once, if the response has to go for others, which hold less or move more; it
// must neither block nor call the account, and has to make the owner call Close soon.
func (a *Account) OpenResponse(server string, leave func()) *ResponseHolding {
	return &ResponseHolding{account: a, server: server, leave: leave}
}

// KeepHead records that the head takes so many bytes. The error is ErrNoRoom.
func (r *ResponseHolding) KeepHead(bytes int) error {
	r.head = Bytes(bytes)
	return r.Keep(0)
}

// Keep records that so many bytes are kept from now on beside the head. The error is ErrNoRoom.
func (r *ResponseHolding) Keep(bytes int) error {
	counted := max(r.head+Bytes(bytes)-FreeResponseBytes, 0)
	switch {
	case r.account == nil || counted == r.counted:
		return nil
	case counted < r.counted:
		r.holding.Shrink(counted)
	case r.holding == nil:
		var err error
		if r.holding, err = r.account.Open(Response, r.server, counted, r.leave); err != nil {
			return err
		}
	default:
		r.holding.Move(counted - r.counted)
		if err := r.holding.Grow(counted - r.counted); err != nil {
			return err
		}
	}
	r.counted = counted
	return nil
}

// TryKeep is like Keep, but reports false if others would have to go for it. The response does not have to go for others from then on.
func (r *ResponseHolding) TryKeep(bytes int) bool {
	counted := r.head + Bytes(bytes) - FreeResponseBytes
	if r.account == nil || counted <= r.counted {
		return true
	}
	if r.holding == nil {
		var err error
		if r.holding, err = r.account.Open(Response, r.server, 0, r.leave); err != nil {
			return false
		}
	}
	if r.holding.Settle() != nil || !r.holding.TryGrow(counted-r.counted) {
		return false
	}
	r.counted = counted
	return true
}

// IsDismissed reports whether the response had to go for others and is not closed yet.
func (r *ResponseHolding) IsDismissed() bool { return r.holding.IsDismissed() }

// Close ends the holding; it may be called more than once. Once it has returned, leave is not called.
func (r *ResponseHolding) Close() { r.holding.Close() }
