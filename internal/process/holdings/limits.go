package holdings

// Bytes is an amount of memory.
type Bytes int64

// Memory that a process needs per connection and per line of a request's head, apart from the bytes of the head itself: buffers, stacks and map entries.
const (
	ConnectionBytes Bytes = 24 << 10
	LineBytes       Bytes = 256
)

// softLimitFraction is the fraction of the memory above which the garbage collector runs more often. Callers and the process itself hold less, so that it
// can rest.
const softLimitFraction = 0.6

// SoftLimit returns the soft limit of a process with so much memory.
func SoftLimit(memory Bytes) Bytes { return Bytes(softLimitFraction * float64(memory)) }

// Limits bound what the holders of a Ledger hold together.
type Limits struct {
	// Bytes bounds the bytes of all holders. A single large holder may exceed it, up to Largest.
	Bytes Bytes
	// Largest bounds the bytes of each holder; at least the part of Bytes that large holders share.
	Largest Bytes
	// Connections bounds the holders that are connections.
	Connections int
}

const (
	// memoryDivisor sets the fraction of the process's memory that callers may hold. The rest is for the process itself, for garbage that is not
	// collected yet and for bytes that are not read yet.
	memoryDivisor = 4
	// largestDivisor sets the fraction of the memory that one holder may hold while no other large one does.
	largestDivisor = 2
	// ownDescriptors are left for log, listeners, store, duties and peers. Half of the others are for callers, because each request that runs needs a
	// connection to a server, too.
	ownDescriptors       = 100
	descriptorsPerCaller = 2
	// minConnections is the least bound of connections.
	minConnections = 16
)

// Defaults where the limits of the process are not known.
const (
	DefaultMemory      Bytes = 1 << 30
	DefaultDescriptors       = 1024
)

// NewLimits returns the limits of a process with so much memory, and so many descriptors for sockets; 0 means that the default applies.
func NewLimits(memory Bytes, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	return Limits{
		Bytes: memory / memoryDivisor, Largest: memory / largestDivisor,
		Connections: max((descriptors-ownDescriptors)/descriptorsPerCaller, minConnections),
	}
}

const (
	// largeDivisor sets the fraction of Limits.Bytes above which a holder is large.
	largeDivisor = 64
	// Large holders share this fraction of Limits.Bytes; the rest is for the others alone.
	largeShareNumerator, largeShareDenominator = 3, 4
)

func (l Limits) isLarge(bytes Bytes) bool { return bytes > l.Bytes/largeDivisor }

// largeShare returns the bytes that large holders share.
func (l Limits) largeShare() Bytes { return l.Bytes * largeShareNumerator / largeShareDenominator }
