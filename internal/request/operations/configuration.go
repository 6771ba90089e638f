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
	// spreadTime is how long an accepted patch waits for the live entries to hold it.
	spreadTime = 4 * time.Second
	// staleTime is how long an entry that does not hold a version may take keys by an older one.
	staleTime = freshness.DefaultWindow
)

// Propagator brings a version to the live entries.
type Propagator interface {
	// Unlisted reports whether the others may not know of this process yet.
	Unlisted() bool
	// Propagate returns the names of the entries that don't hold the version when ctx is done.
	Propagate(ctx context.Context, version ident.Version) []string
}

// Errors of the configuration's procedures.
var (
	// errUnlisted refuses patches that others might not hear of.
	errUnlisted = errors.New("the platform does not list this entry yet: ask another one, or later")
	errInvalid  = errors.New("the operator credential is not valid")
)

// deniedError is what the operator's rights don't cover.
type deniedError struct {
	reason error
}

// Error implements error.
func (e *deniedError) Error() string { return e.reason.Error() }

// permit returns an error unless the operator may change the configuration by the patch.
func (by caller) permit(current configuration.Configuration, patch configuration.Patch) error {
	if by.partner == "" {
		return nil
	}
	if !by.valid(current) {
		return connect.NewError(connect.CodeUnauthenticated, errInvalid)
	}
	if err := current.Permit(by.partner, patch); err != nil {
		return &deniedError{reason: err}
	}
	return nil
}

// valid reports whether the operator's credential is still in force.
func (by caller) valid(current configuration.Configuration) bool {
	return by.partner == "" || slices.ContainsFunc(current.Partners, func(partner configuration.Partner) bool {
		return partner.ID == by.partner && slices.Contains(partner.Operators, by.digest)
	})
}

func (o *Operations) patch(ctx context.Context, by caller, request *operator.PatchRequest) (*operator.PatchAnswer, error) {
	if o.config.Propagator != nil && o.config.Propagator.Unlisted() {
		return nil, connect.NewError(connect.CodeUnavailable, errUnlisted)
	}
	allow := func(current configuration.Configuration) error { return by.permit(current, request.Patch) }
	version, err := o.config.Replica.Commit(ctx, request.Patch, by.digest, allow)
	if err != nil {
		return nil, o.failed(by, err)
	}
	o.config.Events.Record(event.Event{Name: "patch_accepted", Version: version, Detail: string(request.Patch.ID)})
	return o.spread(ctx, version), nil
}

// spread waits until the live entries hold an accepted version, or names those that don't.
func (o *Operations) spread(ctx context.Context, version ident.Version) *operator.PatchAnswer {
	answer := &operator.PatchAnswer{Version: version}
	if o.config.Propagator == nil {
		return answer
	}
	staleUntil := time.Now().Add(staleTime).UTC()
	ctx, cancel := context.WithTimeout(ctx, spreadTime)
	defer cancel()
	if answer.Missing = o.config.Propagator.Propagate(ctx, version); len(answer.Missing) > 0 {
		answer.StaleUntil = staleUntil
		o.config.Events.Record(event.Event{Name: "patch_not_everywhere", Version: version, Detail: strings.Join(answer.Missing, " ")})
	}
	return answer
}

func (o *Operations) get(ctx context.Context, by caller, _ *operator.GetRequest) (*operator.GetAnswer, error) {
	current, err := o.current(ctx, by)
	if err != nil {
		return nil, err
	}
	if by.partner != "" {
		current = current.Part(by.partner)
	}
	return &operator.GetAnswer{Configuration: current}, nil
}

// current returns the configuration as the table has it now, after a look at the operator's credential in it.
func (o *Operations) current(ctx context.Context, by caller) (configuration.Configuration, error) {
	if err := o.config.Replica.Refresh(ctx); err != nil {
		return configuration.Configuration{}, o.failed(by, err)
	}
	current := o.config.Replica.Current()
	if !by.valid(current) {
		return configuration.Configuration{}, connect.NewError(connect.CodeUnauthenticated, errInvalid)
	}
	return current, nil
}

func (o *Operations) history(ctx context.Context, by caller, request *operator.HistoryRequest) (*operator.HistoryAnswer, error) {
	current, err := o.current(ctx, by)
	if err != nil {
		return nil, err
	}
	changes, err := o.config.Replica.History(ctx, current.Version-ident.Version(request.Limit))
	if err != nil {
		return nil, o.failed(by, err)
	}
	return &operator.HistoryAnswer{Version: current.Version, Changes: o.visible(by, changes)}, nil
}

// visible leaves a partner's operators what concerns their own part.
func (o *Operations) visible(by caller, changes []configuration.Change) []configuration.Change {
	if by.partner == "" {
		return changes
	}
	part := o.config.Replica.Current().Part(by.partner)
	var visible []configuration.Change
	for _, change := range changes {
		if change = change.Within(part); len(change.Touched) > 0 {
			visible = append(visible, change)
		}
	}
	return visible
}

// failed returns the error as the operator may see it.
func (o *Operations) failed(by caller, err error) error {
	var known *connect.Error
	if errors.As(err, &known) {
		return known
	}
	var stale *configuration.StaleError
	if errors.As(err, &stale) {
		err = &configuration.StaleError{Base: stale.Base, Current: stale.Current, Changes: o.visible(by, stale.Changes)}
	}
	return connect.NewError(code(err), err)
}

func code(err error) connect.Code {
	var stale *configuration.StaleError
	var denied *deniedError
	switch {
	case errors.As(err, &denied):
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
