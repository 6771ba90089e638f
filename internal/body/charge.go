package body

import (
	"io"
	"net/http"
	"time"

	"vanillapond/internal/process/holdings"
)

// ChargeConfig configures Charge.
type ChargeConfig struct {
	Account *holdings.Account
	// Timeout bounds the time in which a body must arrive.
	Timeout time.Duration
	// Copies is how often a body is in memory while its request is handled; 0 means once.
	Copies int
}

// Charge wraps a handler that reads bodies into memory by itself: what it reads is held in the account until it returns. Reading fails with
// holdings.ErrNoRoom if the body has to make room for others.
func Charge(next http.Handler, config ChargeConfig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		holding, err := open(config.Account, control, r, time.Now().Add(config.Timeout))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer holding.Close()
		r.Body = &charged{ReadCloser: r.Body, holding: holding, copies: holdings.Bytes(max(config.Copies, 1)), onEnd: func() {
			_ = control.SetReadDeadline(time.Time{})
		}}
		next.ServeHTTP(w, r)
	})
}

// charged is a body whose bytes are held once they are read.
type charged struct {
	io.ReadCloser
	holding *holdings.Holding
	copies  holdings.Bytes
	// onEnd is called when the body has been read to its end.
	onEnd func()
}

// Read implements io.Reader.
func (c *charged) Read(buffer []byte) (int, error) {
	n, err := c.ReadCloser.Read(buffer)
	c.holding.Move(holdings.Bytes(n))
	if grown := c.holding.Grow(holdings.Bytes(n) * c.copies); grown != nil {
		return 0, grown
	}
	switch {
	case err == io.EOF:
		if settled := c.holding.Settle(); settled != nil {
			return 0, settled
		}
		c.onEnd()
	case err != nil && c.holding.Settle() != nil:
		return 0, holdings.ErrNoRoom
	}
	return n, err
}
