package ident

import (
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// entropyBytes is the number of random bytes, which distinguish runs of a process that start in the same millisecond.
const entropyBytes = 8

// NewIncarnation returns a unique name for one run of a process.
//
// It contains the name of the process, so that the incarnations of two processes differ even if their clocks and their random
// sources return the same values.
func NewIncarnation(process Process, now time.Time, entropy io.Reader) (Incarnation, error) {
	var random [entropyBytes]byte
	if _, err := io.ReadFull(entropy, random[:]); err != nil {
		return "", oops.Wrapf(err, "read random bytes for the incarnation of %s", process)
	}
	return Incarnation(string(process) + "." + strconv.FormatInt(now.UnixMilli(), 36) + "." + hex.EncodeToString(random[:])), nil
}
