package ident

import (
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// entropyBytes is how many random bytes tell two runs of a process apart that begin in the same millisecond.
const entropyBytes = 8

// NewIncarnation returns a name for one run of a process.
//
// The process's name is a part of it, so that two processes differ whatever their clocks and random sources say.
func NewIncarnation(process Process, now time.Time, entropy io.Reader) (Incarnation, error) {
	var random [entropyBytes]byte
	if _, err := io.ReadFull(entropy, random[:]); err != nil {
		return "", oops.Wrapf(err, "incarnation of %s", process)
	}
	return Incarnation(string(process) + "." + strconv.FormatInt(now.UnixMilli(), 36) + "." + hex.EncodeToString(random[:])), nil
}
