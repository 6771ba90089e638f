package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/internal/load"
	"vanillapond/internal/process/event"
)

// attained checks that at least the fraction LEAST of a class's requests met their latency target, from the JSON report of the load
// command: attained FILE CLASS LEAST.
func attained(ts *testscript.TestScript, _ bool, args []string) {
	var report load.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &report))
	minimum, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	for _, class := range report.Classes {
		if string(class.Class) == args[1] {
			if class.Attainment < minimum {
				ts.Fatalf("%s: %d of %d requests met their target, want at least the fraction %s; refused %v, incomplete %d",
					args[1], class.MetTarget, class.Sent, args[2], class.Refused, class.Incomplete)
			}
			return
		}
	}
	ts.Fatalf("report %s: no class %s", args[0], args[1])
}

// schedulingDecision is one decision of a sidecar's scheduler about a request, from its event log.
type schedulingDecision struct {
	outcome string
	tier    int
	byFloor bool
}

// tiered checks the scheduling decisions of a sidecar: tiered URL.
//
// After a request was shed, the next request that starts must not be of a lower-priority tier, unless it starts by the floor of its
// class (its minimum share of the service). Tier 0, the one with the highest priority, must never be shed. Both shedding and starts
// by a floor must have happened.
func tiered(ts *testscript.TestScript, _ bool, args []string) {
	shedCount, floorStarts := 0, 0
	lastShedTier := -1
	for _, decision := range schedulingDecisions(ts, args[0]) {
		switch decision.outcome {
		case "queue_full", "displaced":
			shedCount++
			lastShedTier = decision.tier
			if lastShedTier == 0 {
				ts.Fatalf("a request of tier 0, the highest priority, was shed")
			}
		case "started":
			if decision.byFloor {
				floorStarts++
				continue
			}
			if lastShedTier >= 0 && decision.tier > lastShedTier {
				ts.Fatalf("a request of tier %d started without its floor after one of tier %d was shed", decision.tier, lastShedTier)
			}
			lastShedTier = -1
		}
	}
	if shedCount == 0 || floorStarts == 0 {
		ts.Fatalf("found %d shed requests and %d starts by a floor, want both", shedCount, floorStarts)
	}
}

func schedulingDecisions(ts *testscript.TestScript, url string) []schedulingDecision {
	var eventLog event.List
	ts.Check(json.Unmarshal(send(ts, []string{http.MethodGet, url + event.PathEvents}).body, &eventLog))
	var decisions []schedulingDecision
	for _, recorded := range eventLog.Events {
		if recorded.Name != "order_decided" {
			continue
		}
		decision := schedulingDecision{outcome: recorded.Detail}
		for _, attribute := range recorded.Attributes {
			switch attribute.Key {
			case "tier":
				decision.tier, _ = strconv.Atoi(attribute.Value)
			case "by_floor":
				decision.byFloor = attribute.Value == "true"
			}
		}
		decisions = append(decisions, decision)
	}
	return decisions
}
