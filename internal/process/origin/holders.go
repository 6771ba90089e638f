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

// highest returns the processes with the highest rendezvous hashes for a stream.
func highest(stream ident.Request, processes []ident.Process, count int) []ident.Process {
	hashes := make(map[ident.Process]uint64, len(processes))
	for _, process := range processes {
		hashes[process] = xxhash.Sum64String(string(stream) + "/" + string(process))
	}
	ranked := slices.Clone(processes)
	slices.SortFunc(ranked, func(a, b ident.Process) int { return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a, b)) })
	return ranked[:min(count, len(ranked))]
}
