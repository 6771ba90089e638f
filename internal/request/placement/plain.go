package placement

// Costs of a plain server.
const (
	// takenCost is what a server with all slots taken adds; half taken, it adds a quarter of that.
	takenCost = 0.2
	// fullCost makes a server with more requests than slots the last choice.
	fullCost = 1
	// farCost is the round trip to another failure domain, with its bytes.
	farCost = 0.04
)

// weighPlain prefers a near server until it is half full, then the least taken one.
//
// Load pattern: short requests with like work, far fewer than the slots on most days; a server slows down when it is
// nearly full, and some callers come in bursts.
func weighPlain(each *server) float64 {
	taken := float64(each.work.Active) / float64(max(each.Slots, 1))
	cost := takenCost * taken * taken
	if taken >= 1 {
		cost += fullCost * taken
	}
	if !each.SameDomain {
		cost += farCost
	}
	return cost
}
