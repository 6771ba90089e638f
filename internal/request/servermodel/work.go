package servermodel

import (
	"math"
	"time"
)

const (
	// normalWork is the work figure of a machine at its usual speed, and workLimit the factor around it to which figures are limited.
	normalWork = 100.0
	workLimit  = 4.0
	// workLifetime is the age at which a figure says nothing about the present: it changes several times a second.
	workLifetime = 600 * time.Millisecond
	// usualStep is the step of the running median of a server's figures, in logarithms.
	usualStep = 0.02
	// A figure is compared with responses if it is at most freshWork old and differs from the usual one by notableWork at least.
	freshWork   = 150 * time.Millisecond
	notableWork = 1.3
	// distrustFraction is the fraction of samples that contradict a server's figures from which on they are ignored, and trustFraction
	// that below which they are used again. minEvidence is the least weight of samples for either.
	distrustFraction = 0.4
	trustFraction    = 0.25
	minEvidence      = 8.0
	// evidenceDecay is applied to older evidence with each sample.
	evidenceDecay = 0.98
	// slowedEvidence is the weight of samples that are slower than a figure below the usual one says: load can be the reason.
	slowedEvidence = 0.25
)

// workFigure is what a server says about how long its work takes now, and whether that agrees with its responses.
type workFigure struct {
	// percent is the last figure, limited to the plausible range, and at its time; zero before the first.
	percent float64
	at      time.Time
	// usual is the running median of the figures.
	usual float64
	// own reports whether the figure came in a response to this instance.
	own bool
	// agreeing and contradicting are decayed weights of samples that were taken while the figure was notable.
	agreeing, contradicting float64
	// peersAgreeing and peersContradicting are the same of the peers.
	peersAgreeing, peersContradicting float64
	// distrusted is set while the figures contradict the responses; they are ignored then.
	distrusted bool
}

// observe records a figure; older ones than the last are ignored. It reports whether the figure is plausible.
func (w *workFigure) observe(at time.Time, percent float64, own bool) bool {
	if percent <= 0 || math.IsNaN(percent) {
		return false
	}
	limited := min(max(percent, normalWork/workLimit), normalWork*workLimit)
	if !at.After(w.at) {
		return limited == percent
	}
	if w.usual == 0 {
		w.usual = normalWork
	}
	switch {
	case limited > w.usual:
		w.usual = min(w.usual*(1+usualStep), limited)
	case limited < w.usual:
		w.usual = max(w.usual/(1+usualStep), limited)
	}
	w.percent, w.at, w.own = limited, at, own
	return limited == percent
}

// factor returns how many times as long as normal work takes now. The last figure counts less the older it is, the usual one more.
func (w *workFigure) factor(now time.Time) float64 {
	if w.percent == 0 || w.distrusted {
		return 1
	}
	freshness := 1 - float64(now.Sub(w.at))/float64(workLifetime)
	return (w.usual + (w.percent-w.usual)*min(max(freshness, 0), 1)) / normalWork
}

// usualFactor returns how many times as long as normal work usually takes.
func (w *workFigure) usualFactor() float64 {
	if w.percent == 0 || w.distrusted {
		return 1
	}
	return w.usual / normalWork
}

// notable reports whether the last figure differs from the usual one.
func (w *workFigure) notable() bool {
	return w.percent != 0 && !w.distrusted && math.Abs(math.Log(w.percent/w.usual)) > math.Log(notableWork)
}

// weight returns the weight of a sample taken now: less if work takes unusually long, because that may have begun or ended meanwhile.
func (w *workFigure) weight() float64 {
	const uncertain = 0.25
	if w.notable() {
		return uncertain
	}
	return 1
}

// compare compares the figure with a sample, given as its duration relative to that expected at the usual figure. It reports whether the
// sample made the figures distrusted.
func (w *workFigure) compare(now time.Time, ratio float64) bool {
	if w.percent == 0 || now.Sub(w.at) > freshWork || ratio <= 0 {
		return false
	}
	claimed := math.Log(w.percent / w.usual)
	if math.Abs(claimed) < math.Log(notableWork) {
		return false
	}
	w.agreeing *= evidenceDecay
	w.contradicting *= evidenceDecay
	measured := math.Log(ratio)
	switch {
	case claimed > 0 && measured < claimed/2:
		w.contradicting++
	case claimed < 0 && measured > claimed/2:
		w.contradicting += slowedEvidence
	default:
		w.agreeing++
	}
	return w.judge()
}

// judge decides by the evidence of all instances whether the figures are used. It reports whether they no longer are.
func (w *workFigure) judge() bool {
	contradicting := w.contradicting + w.peersContradicting
	sum := w.agreeing + w.peersAgreeing + contradicting
	if sum < minEvidence {
		return false
	}
	switch fraction := contradicting / sum; {
	case !w.distrusted && fraction > distrustFraction:
		w.distrusted = true
		return true
	case fraction < trustFraction:
		w.distrusted = false
	}
	return false
}
