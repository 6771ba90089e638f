package origin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/origin"
	"vanillapond/pkg/ident"
)

// originHarness is a registry with a fake clock.
type originHarness struct {
	*origin.Registry
	now clock.Reading
}

func newOriginHarness() *originHarness {
	h := &originHarness{now: clock.Reading(time.Hour)}
	h.Registry = origin.New(origin.Config{
		Memory: func() time.Duration { return modelMemory }, Now: func() clock.Reading { return h.now },
	})
	return h
}

func (h *originHarness) observe(versions ...ident.Software) {
	h.ObserveVersions(map[ident.Pool][]ident.Software{modelService: versions})
}

// TestVersionThatIsGone checks that a service counts as having several versions for as long as a stream of one that has just gone can be
// taken up, although only one serves.
func TestVersionThatIsGone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newOriginHarness()
	h.observe("v1")
	h.now = h.now.Add(2 * modelMemory)
	is.True(h.HasSoleVersion(modelService))
	h.now = h.now.Add(modelMemory / 2)
	h.observe("v2")
	is.Equal(h.Answer("x", modelService).Knowledge, origin.SeveralVersions)
	h.now = h.now.Add(modelMemory - time.Second)
	is.Equal(h.Answer("x", modelService).Knowledge, origin.SeveralVersions)
	is.True(!h.HasSoleVersion(modelService))
	h.now = h.now.Add(2 * time.Second)
	is.Equal(h.Answer("x", modelService).Knowledge, origin.Nothing)
	is.True(h.HasSoleVersion(modelService))
	began, certain := h.Close(h.Ask("x", modelService), true)
	is.True(certain)
	is.Equal(began.Software, ident.Software("v2"))
}

// TestSoleVersionIsCertain checks that an instance relies on the only version that it has seen only if its list of servers is current, and no other
// instance has seen several.
func TestSoleVersionIsCertain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		answers              []origin.Knowledge
		listCurrent, certain bool
	}{
		{listCurrent: true, certain: true},
		{listCurrent: false},
		{answers: []origin.Knowledge{origin.Nothing}, listCurrent: true, certain: true},
		{answers: []origin.Knowledge{origin.Nothing}, listCurrent: false},
		{answers: []origin.Knowledge{origin.SeveralVersions}, listCurrent: true},
		{answers: []origin.Knowledge{origin.Nothing, origin.SeveralVersions}, listCurrent: true},
	} {
		is := is.New(t)
		h := newOriginHarness()
		h.observe("v1")
		h.now = h.now.Add(2 * modelMemory)
		question := h.Ask("x", modelService)
		for _, knowledge := range c.answers {
			h.Receive(origin.Answer{Origin: origin.Origin{Stream: "x", Service: modelService}, Knowledge: knowledge})
		}
		began, certain := h.Close(question, c.listCurrent)
		is.Equal(certain, c.certain)
		is.True(!certain || began.Software == "v1")
	}
}

// TestAnswerOfEarlierBuild checks that the answer of an instance that had seen one version only, as earlier builds give it, decides nothing: its list may
// be outdated.
func TestAnswerOfEarlierBuild(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const soleVersion origin.Knowledge = 2
	h := newOriginHarness()
	h.observe("v1")
	h.now = h.now.Add(2 * modelMemory)
	question := h.Ask("x", modelService)
	answer := origin.Answer{Origin: origin.Origin{Stream: "x", Service: modelService, Software: "v1"}, Knowledge: soleVersion}
	is.NoErr(answer.Check())
	h.Receive(answer)
	_, certain := h.Close(question, false)
	is.True(!certain)
}

// TestGapInList guards against a version that came and went in a time that the list of servers does not show: which versions served is certain only by a
// history of the store that was read afterwards.
func TestGapInList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newOriginHarness()
	h.observe("v1")
	h.now = h.now.Add(2 * modelMemory)
	before := h.now
	h.now = h.now.Add(time.Second)
	h.ObserveGap()
	h.observe("v1")
	is.True(!h.HasSoleVersion(modelService))
	history := origin.History{AsOf: before, Since: before.Add(-modelMemory), Present: []ident.Software{"v1"}}
	h.MergeHistory(modelService, history)
	is.True(!h.HasSoleVersion(modelService))
	history.AsOf = h.now
	h.MergeHistory(modelService, history)
	is.True(h.HasSoleVersion(modelService))
	history.Gone = map[ident.Software]clock.Reading{"v2": before}
	h.MergeHistory(modelService, history)
	is.True(!h.HasSoleVersion(modelService))
}

// TestUndecidedAnswersDoNotSettle checks that a question stays open while no answer decides it, since the instances that hold the origin may
// be told of it any moment.
func TestUndecidedAnswersDoNotSettle(t *testing.T) {
	t.Parallel()
	for _, knowledge := range []origin.Knowledge{origin.Nothing, origin.SeveralVersions} {
		is := is.New(t)
		h := newOriginHarness()
		h.observe("v1", "v2")
		question := h.Ask("x", modelService)
		for range 2 {
			h.Receive(origin.Answer{Origin: origin.Origin{Stream: "x", Service: modelService}, Knowledge: knowledge})
		}
		select {
		case <-question.Settled():
			t.Errorf("settled by answers with knowledge %d", knowledge)
		default:
		}
		known := origin.Origin{Stream: "x", Service: modelService, Software: "v2"}
		h.Receive(origin.Answer{Origin: known, Knowledge: origin.Known})
		<-question.Settled()
		began, certain := h.Close(question, true)
		is.True(certain)
		is.Equal(began, known)
	}
}

// TestStreamsAreToldOnceVersionsDiffer checks that streams that began while a service had one version are told to other instances as soon as it
// has two, and not before.
func TestStreamsAreToldOnceVersionsDiffer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newOriginHarness()
	h.observe("v1")
	h.now = h.now.Add(2 * modelMemory)
	h.Begin(origin.Origin{Stream: "old", Service: modelService, Software: "v1"})
	h.now = h.now.Add(modelMemory + time.Second)
	h.Begin(origin.Origin{Stream: "recent", Service: modelService, Software: "v1"})
	is.Equal(len(h.TakeUnshared()), 0)
	h.observe("v1", "v2")
	is.Equal(h.TakeUnshared(), []origin.Origin{{Stream: "recent", Service: modelService, Software: "v1", AgeMS: 1}})
	is.Equal(len(h.TakeUnshared()), 0)
	_, found := h.Lookup("old")
	is.True(!found)
}

// TestPendingStreams checks that streams that are to be told are announced: those of a service with several versions as they begin, and those
// that began before once a second version appears.
func TestPendingStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newOriginHarness()
	pending := func() bool {
		select {
		case <-h.Pending():
			return true
		default:
			return false
		}
	}
	h.observe("v1")
	h.now = h.now.Add(2 * modelMemory)
	pending()
	h.Begin(origin.Origin{Stream: "a", Service: modelService, Software: "v1"})
	is.True(!pending())
	h.observe("v1", "v2")
	is.True(pending())
	is.Equal(len(h.TakeUnshared()), 1)
	is.True(!pending())
	h.Begin(origin.Origin{Stream: "b", Service: modelService, Software: "v2"})
	is.True(pending())
	is.Equal(len(h.TakeUnshared()), 1)
}

// TestHistorySurvivesRestart checks that an instance that has just started knows by the history that others have kept that a service has had one
// version only, and that it does not take a version for the only one of which the history knows another.
func TestHistorySurvivesRestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		since     time.Duration
		present   []ident.Software
		gone      time.Duration
		knowledge origin.Knowledge
		sole      bool
	}{
		{"one version", time.Hour, []ident.Software{"v1"}, 0, origin.Nothing, true},
		{"watched for a short time", time.Second, []ident.Software{"v1"}, 0, origin.Nothing, false},
		{"other version served until the end", time.Hour, []ident.Software{"v2"}, 0, origin.SeveralVersions, false},
		{"other version just gone", time.Hour, []ident.Software{"v1"}, modelMemory - time.Second, origin.SeveralVersions, false},
		{"other version long gone", time.Hour, []ident.Software{"v1"}, modelMemory + time.Second, origin.Nothing, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newOriginHarness()
			h.observe("v1")
			is.Equal(h.Answer("x", modelService).Knowledge, origin.Nothing)
			is.True(!h.HasSoleVersion(modelService))
			history := origin.History{Since: h.now.Add(-c.since), Present: c.present}
			if c.gone > 0 {
				history.Gone = map[ident.Software]clock.Reading{"v2": h.now.Add(-c.gone)}
			}
			h.MergeHistory(modelService, history)
			is.Equal(h.Answer("x", modelService).Knowledge, c.knowledge)
			is.Equal(h.HasSoleVersion(modelService), c.sole)
			kept := h.Histories()[modelService]
			is.Equal(kept.Since, h.now.Add(-c.since))
			is.Equal(kept.Present, []ident.Software{"v1"})
		})
	}
}
