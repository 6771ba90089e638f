package placement

// Cost terms of the engines of a load-aware service, in units of a request's value. The others are those of engine.go.
const (
	// pauseCost is the cost of an engine where a stream's own pauses are expected to be as long as it allows.
	pauseCost = 0.5
	// paceCost is the cost for a latency-sensitive stream of an engine where an event takes paceLimit of the pause that it allows without any prefill
	// beside it. Work that takes 2.5 times as long as normal makes it late there.
	paceCost  = 0.6
	paceLimit = 0.4
	// completionCost is the cost of an engine where the response is expected to take completionFraction of the time that is left for it.
	completionCost     = 0.6
	completionFraction = 0.8
	// prefillChunk is the number of prompt tokens that an engine with a long backlog prefills in each step, a common default of engines.
	prefillChunk = 4096
)

// protectedCost returns the cost function of the engines of a load-aware service for a request. It differs from engineCost in that it uses the speed of
// each engine, and weighs the pauses of the request itself and of the streams that run there by the time that an event takes.
//
// Load pattern: engines of different speeds with long prompts beside streams that allow pauses of 300 ms to 1.5 s. Several prompts that an engine
// prefills one after another, or one on a slow engine, make every stream on it late that allows less.
func (b *Balancer) protectedCost(query Query) func(*server) float64 {
	shared := sharedTokens(query.Parts)
	sensitive := b.speed.latencySensitive(query.MaxPause)
	objectiveMs := milliseconds(query.Objective)
	if objectiveMs <= 0 {
		objectiveMs = milliseconds(b.settings.ShortestPause)
	}
	perObjective := 1 / objectiveMs
	shortestMs, pauseMs := milliseconds(b.settings.ShortestPause), milliseconds(query.MaxPause)
	longPrompt := b.speed.longPromptLimit()
	kvTokens := query.Prompt + query.Output
	output, remainingMs := float64(query.Output), completionFraction*milliseconds(query.Remaining)
	busyMs := milliseconds(busyBacklog)
	tokensPerEvent := float64(b.settings.TokensPerEvent)
	recomputePerToken := (recomputeCost + busyRecomputeCost*b.reservation.busyFraction) / 1000
	return func(candidate *server) float64 {
		speed := &candidate.figures
		msPerToken := backlogWeight / speed.rate
		uncached := candidate.uncachedTokens(query, shared)
		prefill := float64(uncached) * msPerToken
		queued := float64(candidate.load.Prefill.upTo(query.PriorityLevel)) * msPerToken
		pending := float64(candidate.load.Prefill.Total()) * msPerToken
		step := speed.stepMs + speed.stepMsPerRequest*float64(candidate.load.Active+1)
		event := tokensPerEvent * step
		cost := waitingCost((speed.baseMs+queued+prefill)*perObjective) +
			recomputePerToken*float64(max(uncached-query.Prompt+shared, 0)) + activeCost*float64(candidate.load.Active)
		if !candidate.SameDomain {
			cost += crossDomainEngineCost
		}
		cost += stallCost * float64(candidate.load.LatencySensitive) * stallRisk((event+pending+prefill)/(stallFraction*shortestMs))
		if pauseMs > 0 {
			cost += pauseCost * stallRisk((event+pending)/(stallFraction*pauseMs))
		}
		if remainingMs > 0 {
			busyStep := step + min(pending/busyMs, 1)*prefillChunk/speed.rate
			cost += completionCost * stallRisk((speed.baseMs+queued+prefill+output*busyStep)/remainingMs)
		}
		switch {
		case sensitive:
			cost += paceCost * stallRisk(event/(paceLimit*pauseMs))
			if !candidate.reserved {
				cost += unreservedCost
			}
		case candidate.reserved && prefill > longPrompt:
			cost += reservedCost
		}
		return cost + candidate.utilizationCost(kvTokens)
	}
}
