// Package interleave runs a function once for every sequence of its choices, for exhaustive tests (model checking) of small
// protocols.
package interleave

import (
	"crypto/sha256"
	"fmt"
)

// Chooser makes the choices of each run.
type Chooser struct {
	// choices holds the choices that the run replays and then makes, optionCounts the number of options of each, and depth the
	// number of choices made so far.
	choices      []int
	optionCounts []int
	depth        int
	visited      map[[sha256.Size]byte]struct{}
}

// Result reports how much was explored.
type Result struct {
	// Runs is the number of runs, one for each sequence of choices; States is the number of distinct states that MarkVisited
	// recorded.
	Runs   int
	States int
}

// Explore runs body until all sequences of choices have been made or a run fails. Apart from its choices, body must be
// deterministic.
//
// The error is that of the first run that failed, with the choices that led to it.
func Explore(body func(*Chooser) error) (Result, error) {
	chooser := &Chooser{visited: make(map[[sha256.Size]byte]struct{})}
	var result Result
	for {
		chooser.depth = 0
		err := body(chooser)
		result.Runs++
		result.States = len(chooser.visited)
		if err != nil {
			return result, fmt.Errorf("%w after choices %v", err, chooser.Path())
		}
		if !chooser.nextSequence() {
			return result, nil
		}
	}
}

// Choose returns a number from 0 to options-1.
func (c *Chooser) Choose(options int) int {
	if c.depth == len(c.choices) {
		c.choices = append(c.choices, 0)
		c.optionCounts = append(c.optionCounts, options)
	}
	c.depth++
	return c.choices[c.depth-1]
}

// ChooseFault returns the fault of a call, from 1 to kinds, or 0 for none. A fault decrements remaining; at 0 there are no more.
func (c *Chooser) ChooseFault(remaining *int, kinds int) int {
	if *remaining <= 0 {
		return 0
	}
	fault := c.Choose(kinds + 1)
	if fault > 0 {
		*remaining--
	}
	return fault
}

// Replaying reports whether the run still replays the choices of an earlier run.
func (c *Chooser) Replaying() bool { return c.depth < len(c.choices) }

// MarkVisited records a state and reports whether it was recorded before. If it was, body should return, since the choices that
// follow from this state are explored already.
//
// It must not be called while the run is Replaying, since the states on the replayed choices are recorded already.
func (c *Chooser) MarkVisited(state string) bool {
	sum := sha256.Sum256([]byte(state))
	_, found := c.visited[sum]
	c.visited[sum] = struct{}{}
	return found
}

// Path returns the choices that the run has made so far.
func (c *Chooser) Path() []int { return c.choices[:c.depth] }

// nextSequence prepares the next sequence of choices, and reports whether there is one.
func (c *Chooser) nextSequence() bool {
	for last := len(c.choices) - 1; last >= 0; last-- {
		if c.choices[last]+1 < c.optionCounts[last] {
			c.choices = c.choices[:last+1]
			c.optionCounts = c.optionCounts[:last+1]
			c.choices[last]++
			return true
		}
	}
	return false
}
