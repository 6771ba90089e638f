package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Procedures for billing.
const (
	ProcedureUsage   = "/vanillapond.operator.v1.Operator/Usage"
	ProcedureAccount = "/vanillapond.operator.v1.Operator/Account"
)

// State is the state of a window's billing.
type State string

// States of windows.
const (
	// StateOpen says that the usage may still increase.
	StateOpen State = "open"
	// StateFrozen says that the usage is final, and that its report is not known to have been accepted.
	StateFrozen State = "frozen"
	// StateReported says that the platform has accepted the report.
	StateReported State = "reported"
)

// Usage is the usage that is billed.
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

// UsageRequest requests the usage windows of a customer.
type UsageRequest struct {
	Customer ident.Customer `json:"customer"`
}

// Check returns an error if the customer's id is invalid.
func (r *UsageRequest) Check() error { return ident.Check("customer", r.Customer) }

// UsageWindow is a customer's usage in one window.
type UsageWindow struct {
	Partner  ident.Partner  `json:"partner"`
	Customer ident.Customer `json:"customer"`
	Window   ident.Window   `json:"window"`
	State    State          `json:"state"`
	Usage    Usage          `json:"usage"`
	// Statement is the exact body of the report; absent while the window is open.
	Statement json.RawMessage `json:"statement,omitempty"`
}

// UsageResponse lists the usage windows of a customer in order of time.
type UsageResponse struct {
	Windows []UsageWindow `json:"windows"`
}

// Check returns an error if the state of a window is unknown.
func (r *UsageResponse) Check() error {
	for _, window := range r.Windows {
		if window.State != StateOpen && window.State != StateFrozen && window.State != StateReported {
			return oops.Errorf("windows.state: found %q, want %q, %q or %q", window.State, StateOpen, StateFrozen, StateReported)
		}
	}
	return nil
}

// AccountRequest requests the final statement of a partner.
type AccountRequest struct {
	Partner ident.Partner `json:"partner"`
}

// Check returns an error if the partner's id is invalid.
func (r *AccountRequest) Check() error { return ident.Check("partner", r.Partner) }

// CustomerTotal is the billed usage of a customer over all windows.
type CustomerTotal struct {
	Customer ident.Customer `json:"customer"`
	Usage
}

// Account is the final statement of a partner. Its JSON encoding is the canonical form.
type Account struct {
	Partner ident.Partner `json:"partner"`
	// Statements are the bodies of all reports, sorted by window and customer.
	Statements []json.RawMessage `json:"statements"`
	// CustomerTotals holds the total of each customer, sorted by customer.
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

// AccountResponse is the final statement of a partner with its digest.
type AccountResponse struct {
	Account Account `json:"account"`
	Digest  string  `json:"digest"`
}

// Check returns an error if the digest does not match the statement.
func (r *AccountResponse) Check() error {
	digest, err := r.Account.Digest()
	if err != nil {
		return err
	}
	if digest != r.Digest {
		return oops.Errorf("digest: found %q, want %q", r.Digest, digest)
	}
	return nil
}
