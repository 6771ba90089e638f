//go:build !race

package routes_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/interleave"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Parameters of the model, in ticks.
const (
	modelRevocationBound = 3
	// modelMaxAge is the age up to which the configuration is used. The router's is smaller, to allow for drifting
	// clocks and for requests that are being handled.
	modelMaxAge = modelRevocationBound
	modelEnd    = 6
	// modelLongPolls is the maximum number of long polls in flight: one that waits, and one sent after the first timed
	// out.
	modelLongPolls = 2
)

// longPoll is a long poll in flight to the store.
type longPoll struct {
	sent clock.Reading
	// answered reports whether the store has responded, with the version and revision that it had at answeredAt.
	answered   bool
	answeredAt clock.Reading
	version    int
	revision   table.Revision
}

// withdrawalModel is a model of one router instance, a store, and an operator who withdraws a key.
type withdrawalModel struct {
	chooser   *interleave.Chooser
	current   *routes.Current
	now       clock.Reading
	version   int
	revision  table.Revision
	withdrawn clock.Reading
	longPolls []longPoll
	// remaining is what the version without the key holds.
	remaining platform.Customers
	// confirmAtReceipt makes the model confirm the version as of the receipt of a response instead of its creation,
	// which is a fault.
	confirmAtReceipt bool
}

func (m *withdrawalModel) actions() []func() {
	all := []func(){func() { m.now++ }}
	if m.version == 1 {
		all = append(all, func() { m.version, m.withdrawn = 2, m.now; m.revision++ })
	}
	if m.revision < 2 {
		all = append(all, func() { m.revision++ }) // Another row of the store changes.
	}
	if len(m.longPolls) < modelLongPolls {
		all = append(all, func() { m.longPolls = append(m.longPolls, longPoll{sent: m.now}) })
	}
	for index := range m.longPolls {
		poll := m.longPolls[index]
		all = append(all, func() { m.drop(index) }) // The long poll or its response is lost.
		if !poll.answered {
			all = append(all, func() {
				m.longPolls[index] = longPoll{sent: poll.sent, answered: true, answeredAt: m.now, version: m.version, revision: m.revision}
			})
			continue
		}
		all = append(all, func() { m.drop(index); m.receive(poll) })
	}
	return all
}

func (m *withdrawalModel) drop(index int) {
	kept := append([]longPoll{}, m.longPolls[:index]...)
	m.longPolls = append(kept, m.longPolls[index+1:]...)
}

// receive applies a response as the router does.
func (m *withdrawalModel) receive(response longPoll) {
	customers := m.remaining
	if response.version == 1 {
		customers = platform.Customers{{Name: "c", Keys: []string{"key"}}}
	}
	configuration := platform.Configuration{Version: ident.Version(response.version), Customers: customers}
	if !m.current.Advance(configuration) && configuration.Version < m.current.Version() {
		return
	}
	asOf := response.answeredAt
	if m.confirmAtReceipt {
		asOf = m.now
	}
	m.current.Confirm(asOf, response.revision)
}

// check returns an error if the key is accepted later than the revocation bound after its withdrawal, or requests without a key are at any time.
func (m *withdrawalModel) check() error {
	current := m.current.Table()
	if current != nil && !current.NeedsKey(&platform.Route{}) {
		return fmt.Errorf("version %d needs no key", current.Version())
	}
	if current == nil || current.Customer("key") == nil || m.current.Age(m.now) > modelMaxAge {
		return nil
	}
	if m.version == 2 && m.now.Sub(m.withdrawn) > modelRevocationBound {
		return fmt.Errorf("key is accepted %d ticks after its withdrawal", m.now.Sub(m.withdrawn))
	}
	return nil
}

func (m *withdrawalModel) run() error {
	for m.now < modelEnd {
		if !m.chooser.Replaying() {
			state := fmt.Sprint(m.now, m.version, m.revision, m.withdrawn, m.longPolls, m.current.Version(), m.current.Age(m.now))
			if m.chooser.MarkVisited(state) {
				return nil
			}
			if err := m.check(); err != nil {
				return err
			}
		}
		actions := m.actions()
		actions[m.chooser.Choose(len(actions))]()
	}
	return nil
}

func exploreWithdrawal(t *testing.T, remaining platform.Customers, confirmAtReceipt bool) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error {
		m := &withdrawalModel{
			chooser: chooser, current: &routes.Current{}, version: 1, revision: 1, remaining: remaining, confirmAtReceipt: confirmAtReceipt,
		}
		return m.run()
	})
	t.Logf("%d states, %d runs", result.States, result.Runs)
	return err
}

// TestModelWithdrawal explores every order of long polls, lost and late responses, and changes. It checks that a
// withdrawn key is refused within the revocation bound, also by an instance that receives no more responses, and that no request runs without a key,
// whatever is left.
func TestModelWithdrawal(t *testing.T) {
	t.Parallel()
	for name, remaining := range map[string]platform.Customers{
		"another key": {{Name: "c", Keys: []string{"other"}}}, "no key": {{Name: "c"}}, "no customer": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is.New(t).NoErr(exploreWithdrawal(t, remaining, false))
		})
	}
}

// TestModelWithdrawalDetectsFault checks that the model finds a late acceptance if versions are confirmed as of the
// receipt of a response.
func TestModelWithdrawalDetectsFault(t *testing.T) {
	t.Parallel()
	err := exploreWithdrawal(t, platform.Customers{{Name: "c"}}, true)
	t.Log(err)
	is.New(t).True(err != nil)
}
