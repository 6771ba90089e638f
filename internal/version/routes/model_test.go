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

// Times of the model, in ticks.
const (
	modelRevoke = 3
	// modelTrust is the age up to which knowledge is trusted; the router's is less, for clocks and requests on their way.
	modelTrust = modelRevoke
	modelEnd   = 6
	// modelQuestions is how many questions are on their way at most: one that waits and one sent after it was given up.
	modelQuestions = 2
)

// question is one on its way to the store.
type question struct {
	sent clock.Reading
	// read says that the store has answered, with the version and revision that it had at that time.
	read     bool
	readAt   clock.Reading
	version  int
	revision table.Revision
}

// withdrawalModel is one entry, a store, and an operator who takes a key away.
type withdrawalModel struct {
	chooser   *interleave.Chooser
	current   *routes.Current
	now       clock.Reading
	version   int
	revision  table.Revision
	withdrawn clock.Reading
	questions []question
	// fromAnswer counts knowledge from when the answer came instead of when it was given, which is wrong.
	fromAnswer bool
}

func (m *withdrawalModel) actions() []func() {
	all := []func(){func() { m.now++ }}
	if m.version == 1 {
		all = append(all, func() { m.version, m.withdrawn = 2, m.now; m.revision++ })
	}
	if m.revision < 2 {
		all = append(all, func() { m.revision++ }) // Another row changes.
	}
	if len(m.questions) < modelQuestions {
		all = append(all, func() { m.questions = append(m.questions, question{sent: m.now}) })
	}
	for index := range m.questions {
		asked := m.questions[index]
		all = append(all, func() { m.drop(index) }) // The question or its answer is lost.
		if !asked.read {
			all = append(all, func() {
				m.questions[index] = question{sent: asked.sent, read: true, readAt: m.now, version: m.version, revision: m.revision}
			})
			continue
		}
		all = append(all, func() { m.drop(index); m.hear(asked) })
	}
	return all
}

func (m *withdrawalModel) drop(index int) {
	kept := append([]question{}, m.questions[:index]...)
	m.questions = append(kept, m.questions[index+1:]...)
}

// hear takes an answer over as the router does.
func (m *withdrawalModel) hear(answer question) {
	keys := map[int][]string{1: {"key"}, 2: nil}[answer.version]
	configuration := platform.Configuration{Version: ident.Version(answer.version), Customers: []platform.Customer{{Name: "c", Keys: keys}}}
	if !m.current.Advance(configuration) && configuration.Version < m.current.Version() {
		return
	}
	since := answer.readAt
	if m.fromAnswer {
		since = m.now
	}
	m.current.Confirm(since, answer.revision)
}

// check holds that no request with the key is taken later than the bound after it was withdrawn.
func (m *withdrawalModel) check() error {
	known := m.current.Table()
	if known == nil || known.Customer("key") == nil || m.current.Age(m.now) > modelTrust {
		return nil
	}
	if m.version == 2 && m.now.Sub(m.withdrawn) > modelRevoke {
		return fmt.Errorf("key is taken %d ticks after it was withdrawn", m.now.Sub(m.withdrawn))
	}
	return nil
}

func (m *withdrawalModel) run() error {
	for m.now < modelEnd {
		if !m.chooser.Replaying() {
			state := fmt.Sprint(m.now, m.version, m.revision, m.withdrawn, m.questions, m.current.Version(), m.current.Age(m.now))
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

func exploreWithdrawal(t *testing.T, fromAnswer bool) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error {
		m := &withdrawalModel{chooser: chooser, current: &routes.Current{}, version: 1, revision: 1, fromAnswer: fromAnswer}
		return m.run()
	})
	t.Logf("%d states, %d runs", result.States, result.Runs)
	return err
}

// TestModelWithdrawal visits every order of questions, lost and late answers and changes: a withdrawn key ends in time, also at
// an entry whose answers stop coming.
func TestModelWithdrawal(t *testing.T) {
	t.Parallel()
	is.New(t).NoErr(exploreWithdrawal(t, false))
}

// TestModelWithdrawalDetectsFault holds that the model sees what goes wrong where knowledge counts from when its answer came.
func TestModelWithdrawalDetectsFault(t *testing.T) {
	t.Parallel()
	err := exploreWithdrawal(t, true)
	t.Log(err)
	is.New(t).True(err != nil)
}
