// Package interleave runs a body once for every sequence of its choices, for exhaustive tests of small protocols.
package interleave

import (
	"crypto/sha256"
	"fmt"
)

// Chooser makes the choices of one run.
type Chooser struct {
	// path holds the choices to repeat, widths how many there were at each.
	path   []int
	widths []int
	depth  int
	seen   map[[sha256.Size]byte]struct{}
}

// Result says how much was explored.
type Result struct {
	// Runs counts sequences of choices, States the distinct states among them.
	Runs   int
	States int
}

// Explore runs body until all sequences of choices were made or one failed; body must be deterministic but for them.
//
// The error is the first failure with the choices that led to it.
func Explore(body func(*Chooser) error) (Result, error) {
	chooser := &Chooser{seen: make(map[[sha256.Size]byte]struct{})}
	var result Result
	for {
		chooser.depth = 0
		err := body(chooser)
		result.Runs++
		result.States = len(chooser.seen)
		if err != nil {
			return result, fmt.Errorf("%w after choices %v", err, chooser.Path())
		}
		if !chooser.advance() {
			return result, nil
		}
	}
}

// Pick returns a number from 0 to width-1.
func (c *Chooser) Pick(width int) int {
	if c.depth == len(c.path) {
		c.path = append(c.path, 0)
		c.widths = append(c.widths, width)
	}
	c.depth++
	return c.path[c.depth-1]
}

// Fault returns which of some kinds of fault a call meets, 0 for none, and takes it from those that are left.
func (c *Chooser) Fault(left *int, kinds int) int {
	if *left <= 0 {
		return 0
	}
	fault := c.Pick(kinds + 1)
	if fault > 0 {
		*left--
	}
	return fault
}

// Replaying reports whether the run still repeats choices of an earlier one.
func (c *Chooser) Replaying() bool { return c.depth < len(c.path) }

// Seen notes a state and reports whether earlier choices led to it; the body then returns.
//
// It must not be called while Replaying.
func (c *Chooser) Seen(state string) bool {
	sum := sha256.Sum256([]byte(state))
	_, found := c.seen[sum]
	c.seen[sum] = struct{}{}
	return found
}

// Path returns the choices of the run so far.
func (c *Chooser) Path() []int { return c.path[:c.depth] }

// advance goes to the next sequence of choices; it reports whether there is one.
func (c *Chooser) advance() bool {
	for last := len(c.path) - 1; last >= 0; last-- {
		if c.path[last]+1 < c.widths[last] {
			c.path = c.path[:last+1]
			c.widths = c.widths[:last+1]
			c.path[last]++
			return true
		}
	}
	return false
}
