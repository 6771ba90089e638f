package journal_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/journal"
)

// output keeps what is written, and blocks while closed is open.
type output struct {
	mu      sync.Mutex
	text    strings.Builder
	blocked chan struct{}
}

func (o *output) Write(content []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(content)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestBlockedOutputDoesNotBlockLogging holds that nobody waits for a reader that has stopped reading, and that lost lines are counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	out := &output{blocked: make(chan struct{})}
	dropped := 0
	j := journal.New(journal.Config{Out: out, OnDrop: func(string) { dropped++ }})
	begun := time.Now()
	for kind := range 100 {
		for range 50 {
			j.Log("kind" + strings.Repeat("x", kind))
		}
	}
	is.True(time.Since(begun) < 2*time.Second)
	is.True(dropped > 0)
	j.Close(10 * time.Millisecond)
	close(out.blocked)
}

// TestLimitPerKind holds that one kind of line cannot drown another.
func TestLimitPerKind(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	out := &output{}
	j := journal.New(journal.Config{Out: out})
	for range 450 {
		j.Log("often", "n", 1)
	}
	j.Log("seldom", "reason", "two words")
	j.LogKind("often_failed", "often", "failed", true)
	j.Close(time.Second)
	is.True(strings.Contains(out.String(), "event=often failed=true"))
	often := strings.Count(out.String(), "event=often n=")
	is.True(often >= 200 && often <= 400) // A second may begin between two lines.
	is.True(strings.Contains(out.String(), `event=seldom reason="two words"`))
}
