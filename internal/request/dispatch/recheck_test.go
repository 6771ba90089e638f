package dispatch

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/api"
)

// TestRecheck checks that nothing is sent after a wait in which the request's right to run has ended.
func TestRecheck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dispatcher := &Dispatcher{config: Config{Suspects: suspect.NewRegistry()}, budget: newBudget()}
	refused := refusal.New(http.StatusUnauthorized, api.CodeKeyWithdrawn, "test")
	_, failure := dispatcher.Send(context.Background(), Call{
		Open: new(link.Open), Recheck: func() *refusal.Error { return refused },
	})
	is.Equal(failure, refused)
}
