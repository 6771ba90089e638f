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

// TestRecheck verifies that a request is not sent if Recheck refuses it, as when its key was withdrawn while it waited.
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
