package placement

// Cost terms of a plain server, one that is not an inference engine.
const (
	// usedCost is the cost of a server with all slots in use; with half of them in use it is a quarter of that.
	usedCost = 0.2
	// fullCost makes servers without a free slot the last choice.
	fullCost = 1
	// crossDomainCost is the cost of the round trip and the traffic to another failure domain.
	crossDomainCost = 0.04
)

// plainCost prefers servers in the same failure domain until almost half of their slots are in use, then the least used
// server.
//
// Load pattern: short requests of similar cost, usually far fewer than there are slots. A server slows down when it is
// nearly full, and some callers send bursts.
func plainCost(candidate *server) float64 {
	used := float64(candidate.load.Active) / float64(max(candidate.Slots, 1))
	cost := usedCost * used * used
	if used >= 1 {
		cost += fullCost * used
	}
	if !candidate.SameDomain {
		cost += crossDomainCost
	}
	return cost
}
