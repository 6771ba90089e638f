package holdings_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/holdings"
)

const responseLimit = 1 << 20

// free is how much of each response is not counted.
const free = int(holdings.FreeResponseBytes)

func newResponseAccount(observe func(holdings.Event)) *holdings.Account {
	return holdings.New(holdings.Config{Limits: holdings.NewResponseLimits(8 * responseLimit), Observe: observe})
}

// TestResponsesAreBoundedInSum checks that what is kept of all responses stays within the limit, that usual responses are not counted, and that the largest
// that does not move has to go first.
func TestResponsesAreBoundedInSum(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var events []holdings.Event
	account := newResponseAccount(func(event holdings.Event) { events = append(events, event) })
	is.Equal(account.Limits().Bytes, holdings.Bytes(responseLimit))
	for range 1000 {
		is.NoErr(account.OpenResponse("a", func() {}).Keep(free))
	}
	is.Equal(account.Bytes(), holdings.Bytes(0))
	var left []int
	var responses []*holdings.ResponseHolding
	for index := range 40 {
		var response *holdings.ResponseHolding
		response = account.OpenResponse("a", func() {
			left = append(left, index)
			go response.Close()
		})
		responses = append(responses, response)
		if err := response.Keep(free + responseLimit/16); err != nil {
			is.True(errors.Is(err, holdings.ErrNoRoom))
		}
		is.True(account.Bytes() <= responseLimit)
	}
	is.True(len(left) > 0)
	is.True(len(events) >= len(left))
	is.Equal(events[0].Name(), "response_dismissed")
	for _, response := range responses {
		response.Close()
	}
	is.Equal(account.Bytes(), holdings.Bytes(0))
}

// TestTryKeep checks that nobody has to go for a response that can be passed on early, nor that response for others.
func TestTryKeep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	account := newResponseAccount(nil)
	var settled []*holdings.ResponseHolding
	for range 40 {
		response := account.OpenResponse("a", func() { t.Error("had to go") })
		if response.TryKeep(free + responseLimit/64) {
			settled = append(settled, response)
		}
	}
	held := account.Bytes()
	is.True(held > responseLimit/2 && held <= responseLimit)
	other := account.OpenResponse("b", func() {})
	is.True(errors.Is(other.Keep(responseLimit), holdings.ErrNoRoom))
	other.Close()
	is.Equal(account.Bytes(), held)
	for _, response := range settled {
		response.Close()
	}
	is.Equal(account.Bytes(), holdings.Bytes(0))
}

// TestKeepLess checks that what is passed on counts no longer, and that a nil account bounds nothing.
func TestKeepLess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	account := newResponseAccount(nil)
	response := account.OpenResponse("a", func() {})
	is.NoErr(response.Keep(responseLimit / 2))
	is.Equal(account.Bytes(), holdings.Bytes(responseLimit/2-free))
	is.NoErr(response.Keep(100))
	is.Equal(account.Bytes(), holdings.Bytes(0))
	is.NoErr(response.KeepHead(free))
	is.Equal(account.Bytes(), holdings.Bytes(0))
	is.NoErr(response.Keep(100))
	is.Equal(account.Bytes(), holdings.Bytes(100))
	is.NoErr(response.KeepHead(0))
	is.NoErr(response.Keep(responseLimit / 4))
	is.Equal(account.Bytes(), holdings.Bytes(responseLimit/4-free))
	response.Close()
	response.Close()
	is.Equal(account.Bytes(), holdings.Bytes(0))
	var none *holdings.Account
	unbounded := none.OpenResponse("a", nil)
	is.NoErr(unbounded.Keep(1 << 40))
	is.True(unbounded.TryKeep(1 << 50))
	unbounded.Close()
}
