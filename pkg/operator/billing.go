package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Procedures of the billing.
const (
	ProcedureUsage   = "/vanillapond.operator.v1.Operator/Usage"
	ProcedureAccount = "/vanillapond.operator.v1.Operator/Account"
)

// State is how far the billing of a window has come.
type State string

// States of windows.
const (
	// StateOpen says that the figures may still grow.
	StateOpen State = "open"
	// StateFrozen says that the figures never change and are not known to be reported.
	StateFrozen State = "frozen"
	// StateReported says that the platform has taken the figures.
	StateReported State = "reported"
)

// Usage is what is billed.
type Usage struct {
	Requests   int64        `json:"requests"`
	Prompt     ident.Tokens `json:"prompt"`
	Completion ident.Tokens `json:"completion"`
}

// Add adds other to u.
func (u *Usage) Add(other Usage) {
	u.Requests += other.Requests
	u.Prompt += other.Prompt
	u.Completion += other.Completion
}

// UsageRequest asks for a customer's windows.
type UsageRequest struct {
	Customer ident.Customer `json:"customer"`
}

// Check returns an error where the customer has no valid name.
func (r *UsageRequest) Check() error { return ident.Check("customer", r.Customer) }

// UsageWindow is a customer's usage in one window.
type UsageWindow struct {
	Partner  ident.Partner  `json:"partner"`
	Customer ident.Customer `json:"customer"`
	Window   ident.Window   `json:"window"`
	State    State          `json:"state"`
	Usage    Usage          `json:"usage"`
	// Statement is the body of the report, byte by byte; absent while the window is open.
	Statement json.RawMessage `json:"statement,omitempty"`
}

// UsageResponse holds a customer's windows, in order.
type UsageResponse struct {
	Windows []UsageWindow `json:"windows"`
}

// Check returns an error where a window's state is unknown.
func (a *UsageResponse) Check() error {
	for _, window := range a.Windows {
		if window.State != StateOpen && window.State != StateFrozen && window.State != StateReported {
			return oops.Errorf("windows.state: found %q, want %q, %q or %q", window.State, StateOpen, StateFrozen, StateReported)
		}
	}
	return nil
}

// AccountRequest asks for a partner's final statement.
type AccountRequest struct {
	Partner ident.Partner `json:"partner"`
}

// Check returns an error where the partner has no valid name.
func (r *AccountRequest) Check() error { return ident.Check("partner", r.Partner) }

// CustomerTotal is what a customer is billed for over all windows.
type CustomerTotal struct {
	Customer ident.Customer `json:"customer"`
	Usage
}

// Account is a partner's final statement; its JSON is the canonical form.
type Account struct {
	Partner ident.Partner `json:"partner"`
	// Statements are the bodies of all reports, sorted by window and customer.
	Statements []json.RawMessage `json:"statements"`
	// CustomerTotals are sorted by customer.
	CustomerTotals []CustomerTotal `json:"sums"`
	Total          Usage           `json:"total"`
}

// Digest returns the hexadecimal SHA-256 digest of the canonical form.
func (a Account) Digest() (string, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return "", oops.Wrapf(err, "encode account")
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:]), nil
}

// AccountResponse is a final statement with its digest.
type AccountResponse struct {
	Account Account `json:"account"`
	Digest  string  `json:"digest"`
}

// Check returns an error where the digest does not fit.
func (a *AccountResponse) Check() error {
	digest, err := a.Account.Digest()
	if err != nil {
		return err
	}
	if digest != a.Digest {
		return oops.Errorf("digest: found %q, want %q", a.Digest, digest)
	}
	return nil
}
