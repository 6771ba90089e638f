package operations

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/table"
	"vanillapond/internal/version/freshness"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

const (
	// propagationTimeout is how long the response to a patch waits until all live entries have the new version.
	propagationTimeout = 4 * time.Second
	// staleWindow is how long after a patch an entry without the new version may accept keys by an older one.
	staleWindow = freshness.DefaultWindow
)

// Propagator distributes configuration versions to the other live entries.
type Propagator interface {
	// Unlisted reports whether the platform's list of entries does not contain this process yet.
	//
	// The other entries then may not know of this process and of the patches that it accepts.
	Unlisted() bool
	// Propagate sends a version to the other entries and returns the names of those that don't have it when ctx is done.
	Propagate(ctx context.Context, version ident.Version) []string
}

// Errors of the configuration procedures.
var (
	// errUnlisted is returned for a patch while this process is unlisted, because other entries might not learn of the patch.
	errUnlisted          = errors.New("the platform does not list this entry yet: ask another one, or later")
	errInvalidCredential = errors.New("the operator credential is not valid")
)

// permissionError is returned for a patch that exceeds the operator's permissions.
type permissionError struct {
	reason error
}

// Error implements error.
func (e *permissionError) Error() string { return e.reason.Error() }

// permit returns an error unless the operator may apply the patch to the configuration.
func (p principal) permit(current configuration.Configuration, patch configuration.Patch) error {
	if p.partner == "" {
		return nil
	}
	if !p.credentialValid(current) {
		return connect.NewError(connect.CodeUnauthenticated, errInvalidCredential)
	}
	if err := current.Authorize(p.partner, patch); err != nil {
		return &permissionError{reason: err}
	}
	return nil
}

// credentialValid reports whether the configuration still has the operator's credential; the root credential is always valid.
func (p principal) credentialValid(current configuration.Configuration) bool {
	return p.partner == "" || slices.ContainsFunc(current.Partners, func(partner configuration.Partner) bool {
		return partner.ID == p.partner && slices.Contains(partner.Operators, p.keyDigest)
	})
}

func (o *Operations) patch(ctx context.Context, p principal, request *operator.PatchRequest) (*operator.PatchResponse, error) {
	if o.config.Propagator != nil && o.config.Propagator.Unlisted() {
		return nil, connect.NewError(connect.CodeUnavailable, errUnlisted)
	}
	allow := func(current configuration.Configuration) error { return p.permit(current, request.Patch) }
	version, err := o.config.Replica.Commit(ctx, request.Patch, p.keyDigest, allow)
	if err != nil {
		return nil, o.connectError(p, err)
	}
	o.config.Events.Record(event.Event{Name: "patch_accepted", Version: version, Detail: string(request.Patch.ID)})
	return o.propagate(ctx, version), nil
}

// propagate waits until the live entries have an accepted version.
//
// The response names the entries that don't have it after propagationTimeout.
func (o *Operations) propagate(ctx context.Context, version ident.Version) *operator.PatchResponse {
	response := &operator.PatchResponse{Version: version}
	if o.config.Propagator == nil {
		return response
	}
	staleUntil := time.Now().Add(staleWindow).UTC()
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	if response.Missing = o.config.Propagator.Propagate(ctx, version); len(response.Missing) > 0 {
		response.StaleUntil = staleUntil
		o.config.Events.Record(event.Event{Name: "patch_not_everywhere", Version: version, Detail: strings.Join(response.Missing, " ")})
	}
	return response
}

func (o *Operations) get(ctx context.Context, p principal, _ *operator.GetRequest) (*operator.GetResponse, error) {
	current, err := o.current(ctx, p)
	if err != nil {
		return nil, err
	}
	if p.partner != "" {
		current = current.VisibleTo(p.partner)
	}
	return &operator.GetResponse{Configuration: current}, nil
}

// current returns the configuration that is in the table now, if the operator's credential is valid in it.
func (o *Operations) current(ctx context.Context, p principal) (configuration.Configuration, error) {
	if err := o.config.Replica.Refresh(ctx); err != nil {
		return configuration.Configuration{}, o.connectError(p, err)
	}
	current := o.config.Replica.Current()
	if !p.credentialValid(current) {
		return configuration.Configuration{}, connect.NewError(connect.CodeUnauthenticated, errInvalidCredential)
	}
	return current, nil
}

func (o *Operations) history(
	ctx context.Context, p principal, request *operator.HistoryRequest,
) (*operator.HistoryResponse, error) {
	current, err := o.current(ctx, p)
	if err != nil {
		return nil, err
	}
	changes, err := o.config.Replica.History(ctx, current.Version-ident.Version(request.Limit))
	if err != nil {
		return nil, o.connectError(p, err)
	}
	return &operator.HistoryResponse{Version: current.Version, Changes: o.visibleChanges(p, changes)}, nil
}

// visibleChanges returns the changes that the operator may see: for a partner's operator, those in the view of its partner.
func (o *Operations) visibleChanges(p principal, changes []configuration.Change) []configuration.Change {
	if p.partner == "" {
		return changes
	}
	view := o.config.Replica.Current().VisibleTo(p.partner)
	var visible []configuration.Change
	for _, change := range changes {
		if change = change.VisibleIn(view); len(change.Touched) > 0 {
			visible = append(visible, change)
		}
	}
	return visible
}

// connectError returns the error to send to the operator, without changes that the operator may not see.
func (o *Operations) connectError(p principal, err error) error {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		return connectErr
	}
	var stale *configuration.StaleError
	if errors.As(err, &stale) {
		err = &configuration.StaleError{Base: stale.Base, Current: stale.Current, Changes: o.visibleChanges(p, stale.Changes)}
	}
	return connect.NewError(connectCode(err), err)
}

func connectCode(err error) connect.Code {
	var stale *configuration.StaleError
	var permission *permissionError
	switch {
	case errors.As(err, &permission):
		return connect.CodePermissionDenied
	case errors.As(err, &stale), errors.Is(err, table.ErrConflict):
		return connect.CodeAborted
	case errors.Is(err, table.ErrOutcomeUnknown):
		return connect.CodeUnknown
	case errors.Is(err, table.ErrRefused):
		return connect.CodeUnavailable
	default:
		return connect.CodeFailedPrecondition
	}
}
