package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/internal/load"
	"vanillapond/internal/process/event"
)

// attained checks a class's attainment in a load's JSON report: attained FILE CLASS LEAST.
func attained(ts *testscript.TestScript, _ bool, args []string) {
	var report load.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &report))
	least, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	for _, class := range report.Classes {
		if string(class.Class) == args[1] {
			if class.Attainment < least {
				ts.Fatalf("%s: %d of %d met their target, want a share of %s; refused %v, broken %d",
					args[1], class.MetTarget, class.Sent, args[2], class.Refused, class.Incomplete)
			}
			return
		}
	}
	ts.Fatalf("%s: no class %s", args[0], args[1])
}

// decision is one event of a sidecar's order.
type decision struct {
	outcome string
	tier    int
	byFloor bool
}

// tiered checks a sidecar's decisions: tiered URL.
//
// After a request was shed, nothing less urgent starts next but by its floor; the most urgent tier is never shed;
// both sheddings and starts by a floor happened.
func tiered(ts *testscript.TestScript, _ bool, args []string) {
	sheddings, floors := 0, 0
	shed := -1
	for _, decided := range decisions(ts, args[0]) {
		switch decided.outcome {
		case "queue_full", "displaced":
			sheddings++
			shed = decided.tier
			if shed == 0 {
				ts.Fatalf("a request of the most urgent tier was shed")
			}
		case "started":
			if decided.byFloor {
				floors++
				continue
			}
			if shed >= 0 && decided.tier > shed {
				ts.Fatalf("tier %d started by tier after tier %d was shed", decided.tier, shed)
			}
			shed = -1
		}
	}
	if sheddings == 0 || floors == 0 {
		ts.Fatalf("found %d sheddings and %d starts by a floor, want both", sheddings, floors)
	}
}

func decisions(ts *testscript.TestScript, url string) []decision {
	var timeline event.List
	ts.Check(json.Unmarshal(send(ts, []string{http.MethodGet, url + event.PathEvents}).body, &timeline))
	var list []decision
	for _, recorded := range timeline.Events {
		if recorded.Name != "order_decided" {
			continue
		}
		decided := decision{outcome: recorded.Detail}
		for _, pair := range recorded.Attributes {
			switch pair.Key {
			case "tier":
				decided.tier, _ = strconv.Atoi(pair.Value)
			case "by_floor":
				decided.byFloor = pair.Value == "true"
			}
		}
		list = append(list, decided)
	}
	return list
}
