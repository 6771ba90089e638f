package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/request/forward"
	"vanillapond/internal/version/routes"
)

// TestPanicIsNotHidden guards against a fault whose reason is lost: a request that panics has no response, and must not end as one whose caller has left.
func TestPanicIsNotHidden(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	observed := 0
	forwarder := forward.New(forward.Config{
		Current: &routes.Current{}, Observe: func(forward.Record) { observed++ },
	})
	defer func() {
		reason := recover()
		is.Equal(reason, "fault")
		is.Equal(observed, 1)
	}()
	forwarder.ServeHTTP(panickingWriter{httptest.NewRecorder()}, httptest.NewRequest(http.MethodPost, "/", nil))
}

// panickingWriter panics when a response is begun.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) Header() http.Header { panic("fault") }
