package placement

import "time"

// aheadTime returns how long an engine prefills the prompts that are ahead of one of this level, and those that will overtake it.
func (s *server) aheadTime(level PriorityLevel, overtaking float64) time.Duration {
	return time.Duration(float64(s.figures.prefillTime(s.load.Prefill.upTo(level))) / (1 - overtaking))
}

// queueDelay returns the time until an engine starts a request that takes toFirst from then to its first event, with the error of such estimates lately. It is 0
// where nothing is ahead: a request is not refused for past errors while an engine has nothing to do.
func (b *Balancer) queueDelay(engine *server, level PriorityLevel, overtaking float64, toFirst time.Duration) time.Duration {
	ahead := engine.aheadTime(level, overtaking)
	if ahead <= 0 {
		return 0
	}
	return b.delays[level].correct(ahead+toFirst) - toFirst
}

// keepInTime leaves in eligible only the engines that are expected to send a first event within query.FirstWithin, if there are any. An engine that is reserved
// for latency-sensitive streams is left to them, because their callers would get no event in time.
func (b *Balancer) keepInTime(now time.Time, query Query) {
	shared, overtaking := sharedTokens(query.Parts), b.overtaking(now, query.PriorityLevel)
	sensitive := b.speed.latencySensitive(query.MaxPause)
	count := 0
	for index, engine := range b.eligible {
		toFirst := engine.figures.prefillTime(engine.uncachedTokens(query, shared)) + engine.figures.base()
		if (sensitive || !engine.reserved) && b.queueDelay(engine, query.PriorityLevel, overtaking, toFirst)+toFirst <= query.FirstWithin {
			b.eligible[index], b.eligible[count] = b.eligible[count], engine
			count++
		}
	}
	if count > 0 {
		b.eligible = b.eligible[:count]
	}
}

// priorSeconds is the weight of the assumption that expected delays are right, in seconds of observed ones: errors of short delays say little about long ones.
const priorSeconds = 5

// delayError is by how much longer requests of a level lately took to their first event than expected: engines slow down with the streams that run there, and
// what other instances have just sent is not known. The zero value assumes that expected delays are right.
type delayError struct {
	// tookSeconds and expectedSeconds are decayed sums over requests. One that ended without a first event counts with the time until then, if that is longer
	// than expected.
	tookSeconds, expectedSeconds float64
}

func (d *delayError) observe(took, expected time.Duration) {
	d.tookSeconds = d.tookSeconds*workDecay + took.Seconds()
	d.expectedSeconds = d.expectedSeconds*workDecay + expected.Seconds()
}

// correct returns an expected time to the first event with the error; at least the expected time.
func (d *delayError) correct(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * max((d.tookSeconds+priorSeconds)/(d.expectedSeconds+priorSeconds), 1))
}
