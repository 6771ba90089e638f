package placement

// Costs of a plain server, in milliseconds.
const (
	// farCost is the round trip to another failure domain that a near server saves, with its bytes.
	farCost = 4
	// fullCost makes a server with all slots taken the last choice.
	fullCost = 60
)

// weighPlain prefers a near server until it is half full, then the least taken one.
//
// Load pattern: short requests with like work, far fewer than the slots on most days; a server slows down when it is
// nearly full, and some callers come in bursts.
func weighPlain(candidate Candidate, choice *Choice) {
	slots := float64(max(candidate.Slots, 1))
	taken := float64(choice.Work.Active) / slots
	choice.Cost = taken * taken * farCost * 4
	if taken >= 1 {
		choice.Cost += fullCost * taken
	}
	if !candidate.Near {
		choice.Cost += farCost
	}
}
