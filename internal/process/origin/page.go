package origin

import (
	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Limits of what one datagram tells of streams.
const (
	// MaxBatch is the number of streams, and maxBatchBytes bounds their encoded size: datagrams that are much larger are lost more often.
	MaxBatch      = 100
	maxBatchBytes = 8 << 10
	// originOverhead is what the encoding of an origin takes besides its texts.
	originOverhead = 24
	// maxPageScan is the number of entries that an instance looks at for one page.
	maxPageScan = 4096
)

// Position is a place in the order in which an instance was told of streams.
type Position uint64

// PageQuestion asks an instance for the streams that the sender is to know.
type PageQuestion struct {
	// From is the incarnation of the sender, and To that of the instance that is asked.
	From ident.Incarnation `cbor:"1,keyasint"`
	To   ident.Incarnation `cbor:"2,keyasint"`
	// Position is where the page begins.
	Position Position `cbor:"3,keyasint,omitempty"`
}

// Page is the answer to a PageQuestion.
type Page struct {
	// From is the incarnation of the instance that was asked, and Position that of the question.
	From     ident.Incarnation `cbor:"1,keyasint"`
	Position Position          `cbor:"2,keyasint,omitempty"`
	// Streams are those between Position and Next, at most MaxBatch, each with its age.
	Streams []Origin `cbor:"3,keyasint,omitempty"`
	Next    Position `cbor:"4,keyasint,omitempty"`
	// Complete means that there are no more.
	Complete bool `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if a field is out of range.
func (p *Page) Check() error {
	if len(p.Streams) > MaxBatch || p.Next < p.Position {
		return oops.Errorf("page of streams: found %d streams from %d to %d, want at most %d and an end behind the beginning",
			len(p.Streams), p.Position, p.Next, MaxBatch)
	}
	return CheckAll(p.Streams)
}

// CheckAll returns an error if one of the origins has no stream or a field out of range.
func CheckAll(origins []Origin) error {
	for _, origin := range origins {
		if origin.Stream == "" {
			return oops.Errorf("origins of streams: found a stream without an id")
		}
		if err := origin.Check(); err != nil {
			return err
		}
	}
	return nil
}

// size returns about how many bytes the encoding of an origin takes.
func (o Origin) size() int { return len(o.Stream) + len(o.Service) + len(o.Software) + originOverhead }

// Batches splits origins so that a datagram holds each batch.
func Batches(origins []Origin) [][]Origin {
	var batches [][]Origin
	begin, size := 0, 0
	for index, origin := range origins {
		if index > begin && (index-begin == MaxBatch || size+origin.size() > maxBatchBytes) {
			batches = append(batches, origins[begin:index])
			begin, size = index, 0
		}
		size += origin.size()
	}
	if begin < len(origins) {
		batches = append(batches, origins[begin:])
	}
	return batches
}

// Page returns streams from a position on, of those that are wanted and whose service has had several versions.
func (r *Registry) Page(position Position, wanted func(ident.Request) bool) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	page := Page{Position: position, Next: max(position, r.removed)}
	end, size := r.removed+Position(len(r.order)), 0
	sole := make(map[ident.Pool]bool)
	for scanned := 0; page.Next < end && scanned < maxPageScan && len(page.Streams) < MaxBatch; scanned++ {
		entry := r.order[page.Next-r.removed]
		known := r.lookup(entry.key)
		if known != nil && known.at == entry.at {
			if _, found := sole[known.Service]; !found {
				_, sole[known.Service] = r.sole(known.Service)
			}
			if !sole[known.Service] && wanted(known.Stream) {
				if size += known.size(); len(page.Streams) > 0 && size > maxBatchBytes {
					return page
				}
				page.Streams = append(page.Streams, known.toTell(now))
			}
		}
		page.Next++
	}
	page.Complete = page.Next >= end
	return page
}
