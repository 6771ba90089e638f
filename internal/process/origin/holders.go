package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

const (
	// holders is the number of instances that are told where a stream began.
	holders = 2
	// askAll is the number of instances up to which all are asked about a stream: one of them may have relayed its beginning.
	askAll = 16
	// askedPerHolder is how many instances are asked in a larger fleet for each holder, in case the instances' views of the fleet differ.
	askedPerHolder = 2
)

// Holders returns which of the other instances are told where a stream began.
func Holders(stream ident.Request, others []ident.Process) []ident.Process {
	return highest(stream, others, holders)
}

// Asked returns which of the other instances are asked about a stream.
func Asked(stream ident.Request, others []ident.Process) []ident.Process {
	if len(others) <= askAll {
		return others
	}
	return highest(stream, others, holders*askedPerHolder)
}

// IsKeeper reports whether an instance that joins is to know a stream: the instances that were told of it, and the one that relayed its beginning if its
// hash is as high. All are the processes of the fleet, that instance included.
func IsKeeper(stream ident.Request, process ident.Process, all []ident.Process) bool {
	hash := newRendezvous(stream)
	own, higher := hash.of(process), 0
	for _, other := range all {
		if hash.of(other) > own {
			higher++
		}
		if higher > holders {
			return false
		}
	}
	return true
}

// rendezvous computes the rendezvous hashes of processes for a stream.
type rendezvous struct {
	// text holds the stream and a slash, whose length is prefix, and then a process.
	text   []byte
	prefix int
}

// newRendezvous returns the hashes for a stream. It is hashed by its key, by which all instances know it.
func newRendezvous(stream ident.Request) *rendezvous {
	const processBytes = 64
	key := newStreamKey(stream)
	text := make([]byte, 0, len(key)+1+processBytes)
	text = append(append(text, key...), '/')
	return &rendezvous{text: text, prefix: len(text)}
}

// of returns the hash of a process.
func (r *rendezvous) of(process ident.Process) uint64 {
	r.text = append(r.text[:r.prefix], process...)
	return xxhash.Sum64(r.text)
}

// ranked is a process and its hash.
type ranked struct {
	process ident.Process
	hash    uint64
}

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(other.hash, r.hash), cmp.Compare(r.process, other.process))
}

// highest returns the processes with the highest rendezvous hashes for a stream, the highest first.
func highest(stream ident.Request, processes []ident.Process, count int) []ident.Process {
	hash := newRendezvous(stream)
	best := make([]ranked, 0, count+1)
	for _, process := range processes {
		candidate := ranked{process, hash.of(process)}
		if len(best) == count && candidate.compare(best[count-1]) > 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, candidate, ranked.compare)
		best = slices.Insert(best, index, candidate)
		best = best[:min(len(best), count)]
	}
	chosen := make([]ident.Process, len(best))
	for index, each := range best {
		chosen[index] = each.process
	}
	return chosen
}
