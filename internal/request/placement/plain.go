package placement

// Costs of a plain server.
const (
	// usedCost is what a server with all slots taken adds; half taken, it adds a quarter of that.
	usedCost = 0.2
	// fullCost makes a server with more requests than slots the last choice.
	fullCost = 1
	// crossDomainCost is the round trip to another failure domain, with its bytes.
	crossDomainCost = 0.04
)

// plainCost prefers a near server until it is half full, then the least taken one.
//
// Load pattern: short requests with like work, far fewer than the slots on most days; a server slows down when it is
// nearly full, and some callers come in bursts.
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
