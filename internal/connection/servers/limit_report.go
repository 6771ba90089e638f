package servers

import (
	"math"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/sharedrate"

	"vanillapond/pkg/ident"
)

// Limits of what instances tell each other about servers' rate limits.
const (
	// limitEndShareTime is for how long an instance reports that a limit has ended, in case a report is lost.
	limitEndShareTime = 10 * time.Second
	// maxReportDelay bounds the time that a report takes.
	maxReportDelay = time.Second
	// maxLimitReports bounds the statements in one message.
	maxLimitReports = 64
	// maxLimitAge bounds the age of a reported statement.
	maxLimitAge = 24 * time.Hour
)

// LimitReport tells another instance a LimitStatement that this one has received. It is repeated, and receiving it again changes nothing.
type LimitReport struct {
	Server  ident.ServerStart `cbor:"1,keyasint"`
	Limited bool              `cbor:"2,keyasint,omitempty"`
	Rate    sharedrate.Rate   `cbor:"3,keyasint,omitempty"`
	// SentAgeMS and ReceivedAgeMS are how long ago the request was sent and its response received, in milliseconds.
	SentAgeMS     int64 `cbor:"4,keyasint,omitempty"`
	ReceivedAgeMS int64 `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if a field is out of range.
func (l LimitReport) Check() error {
	rate := float64(l.Rate)
	switch {
	case l.Server.ID == "":
		return oops.Errorf("rate limit report: found no server")
	case !(rate >= 0) || math.IsInf(rate, 0):
		return oops.Errorf("rate limit report: found %v requests a second, want a non-negative number", rate)
	case l.ReceivedAgeMS < 0 || l.SentAgeMS < l.ReceivedAgeMS || l.SentAgeMS > maxLimitAge.Milliseconds():
		return oops.Errorf("rate limit report: found a request sent %d ms and answered %d ms ago, want 0 to %d ms, sent before answered",
			l.SentAgeMS, l.ReceivedAgeMS, maxLimitAge.Milliseconds())
	}
	return nil
}

// LimitReports returns what to tell the other instances: the limits that responses to this instance named, and those that ended recently.
func (r *Registry) LimitReports() []LimitReport {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.config.Now()
	var reports []LimitReport
	for id, known := range r.announcements {
		if known.limit == nil || r.servers[id] == nil || len(reports) == maxLimitReports {
			continue
		}
		own := known.limit.own
		sentAge, ended := now.Sub(own.SentAt), now.Sub(known.limit.ownEndedAt)
		if own.Server.ID == "" || sentAge > maxLimitAge || !own.Limited && ended > limitEndShareTime {
			continue
		}
		reports = append(reports, LimitReport{
			Server: own.Server, Limited: own.Limited, Rate: own.Rate,
			SentAgeMS: sentAge.Milliseconds(), ReceivedAgeMS: now.Sub(own.ReceivedAt).Milliseconds(),
		})
	}
	return reports
}

// MergeLimit applies a statement that another instance received. Its age does not include the time that the report took.
func (r *Registry) MergeLimit(report LimitReport) {
	now := r.config.Now()
	statement := LimitStatement{
		Server: report.Server, Limited: report.Limited, Rate: report.Rate,
		SentAt:     now.Add(-time.Duration(report.SentAgeMS) * time.Millisecond),
		ReceivedAt: now.Add(-time.Duration(report.ReceivedAgeMS) * time.Millisecond),
		delay:      maxReportDelay,
	}
	if statement.Limited || r.namedLimit(report.Server.ID) {
		r.applyLimit(statement, true)
	}
}
