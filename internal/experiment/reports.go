package experiment

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/request/placement"
)

// ReportPlan describes how the entries' load reports travel and what engines say about their load.
type ReportPlan struct {
	// DelayMS is the delay of every report, and JitterMS the mean of an exponentially distributed further one, by which reports overtake each other.
	DelayMS  float64 `yaml:"delay_ms"`
	JitterMS float64 `yaml:"jitter_ms"`
	// Loss is the fraction of reports that are lost.
	Loss float64 `yaml:"loss"`
	// The first FalseCount engines multiply their own figures by FalseFactor.
	FalseCount  int     `yaml:"false"`
	FalseFactor float64 `yaml:"false_times"`
}

func (r *ReportPlan) check() error {
	if r.DelayMS < 0 || r.JitterMS < 0 || r.Loss < 0 || r.Loss > 1 || r.FalseCount < 0 || r.FalseFactor < 0 {
		return oops.Errorf("reports: delay_ms, jitter_ms, false and false_times must be 0 or more, and loss from 0 to 1")
	}
	return nil
}

// deliverReport runs the function that applies a report at its receiver when the report arrives, with the time of that, unless it is lost.
func (s *simulation) deliverReport(apply func(now time.Time)) {
	reports := s.plan.Reports
	if reports.Loss > 0 && s.reportRandom.Float64() < reports.Loss {
		return
	}
	delay := milliseconds(reports.DelayMS)
	if reports.JitterMS > 0 {
		delay += milliseconds(reports.JitterMS * s.reportRandom.ExpFloat64())
	}
	if delay == 0 {
		apply(epoch.Add(s.now))
		return
	}
	s.scheduleAfter(delay, func() { apply(epoch.Add(s.now)) })
}

// reportLoad passes an engine's own figure on to the entry that gets the head of its response.
func (s *simulation) reportLoad(r *request, receivedAt time.Duration) {
	e := s.engines[r.engine]
	factor := 1.0
	if r.engine < s.plan.Reports.FalseCount {
		factor = s.plan.Reports.FalseFactor
	}
	r.attempt.ReportLoad(epoch.Add(receivedAt), placement.ReportedLoad{
		Running: int(factor * float64(len(e.prefilling)+len(e.decoding))), Waiting: int(factor * float64(len(e.queued))), Slots: e.plan.Slots,
	})
}
