package body

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"vanillapond/internal/process/holdings"
)

// HandlerConfig configures NewHandler.
type HandlerConfig struct {
	// Next gets the requests whose bodies have arrived.
	Next http.Handler
	// Limit bounds the length of a body.
	Limit int64
	// Timeout bounds the time in which a body must arrive.
	Timeout time.Duration
	Account *holdings.Account
	// Copies is how often the body is in memory while Next handles the request, as Config.Copies.
	Copies int
}

// NewHandler returns a handler that reads the body of each request before it passes the request on, and refuses those for whose bodies there is no room.
func NewHandler(config HandlerConfig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read, err := Read(w, r, Config{
			Limit: config.Limit, Deadline: time.Now().Add(config.Timeout), Account: config.Account, Copies: config.Copies,
		})
		if err != nil {
			Refuse(w, err, config.Account)
			return
		}
		defer read.Release()
		blocks := net.Buffers(append([][]byte(nil), read.Blocks()...))
		r.Body = io.NopCloser(&blocks)
		config.Next.ServeHTTP(w, r)
	})
}

// Refuse responds to a request for which Read returned an error. The request has not run.
func Refuse(w http.ResponseWriter, err error, account *holdings.Account) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, holdings.ErrNoRoom):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.FormatFloat(account.RetryAfter().Seconds(), 'f', 2, 64))
	case errors.Is(err, ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrLate):
		status = http.StatusRequestTimeout
	}
	http.Error(w, err.Error(), status)
}
