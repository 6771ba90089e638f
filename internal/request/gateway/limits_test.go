package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

// TestJitter holds that refused callers are sent away for times spread evenly between one and four waits.
func TestJitter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const callers = 3000
	quarters := make(map[int]int)
	for caller := range callers {
		after := spread(time.Second, ident.Request(fmt.Sprintf("request-%d", caller)))
		is.True(after >= time.Second && after < 4*time.Second)
		quarters[int(after/time.Second)]++
	}
	for second := 1; second < 4; second++ {
		is.True(quarters[second] > callers/4)
	}
}
