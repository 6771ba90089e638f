package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/internal/process/billing"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/stub/enginestub"
	"vanillapond/internal/stub/platformstub"
	"vanillapond/internal/stub/servicestub"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// partition sets NAME to the name of the lease for a customer's reports: partition NAME CUSTOMER.
func partition(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], fmt.Sprintf("reports.%d", billing.PartitionOf(ident.Customer(args[1]))))
}

// retry runs the vanillapond command until it exits with status 0: retry DURATION ARG...
func retry(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	poll(ts, timeout, func() error { return ts.Exec("vanillapond", args[1:]...) })
}

// billed waits until the reports add up to the usage that the backends completed: billed DURATION ENGINES SERVICES.
//
// It fails if more than that is reported, if two reports with the same ID differ, or if the fencing numbers of a customer's
// reports decrease.
func billed(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	poll(ts, timeout, func() error {
		want := completedUsage(ts, number(ts, args[1]), number(ts, args[2]))
		found, err := reportedUsage(ts)
		if err != nil {
			ts.Fatalf("%v", err)
		}
		if found.Requests > want.Requests || found.Completion > want.Completion {
			ts.Fatalf("reported usage %+v, want at most the completed %+v", found, want)
		}
		if found.Requests != want.Requests || found.Completion != want.Completion {
			return fmt.Errorf("reported usage %+v, want the completed %+v", found, want)
		}
		return nil
	})
}

// completedUsage returns the usage of all requests that the backend stubs have completed.
func completedUsage(ts *testscript.TestScript, engines, services int) ledger.Usage {
	var total ledger.Usage
	for index := range engines {
		var response enginestub.ExecutionsResponse
		fetch(ts, ts.Getenv("ENGINE"+strconv.Itoa(index+1))+enginestub.PathExecutions, &response)
		for _, execution := range response.Executions {
			if execution.Completed {
				total = total.Plus(ledger.Usage{Requests: 1, Completion: execution.Tokens})
			}
		}
	}
	for index := range services {
		var response servicestub.ExecutionsResponse
		fetch(ts, ts.Getenv("SERVICE"+strconv.Itoa(index+1))+servicestub.PathExecutions, &response)
		total.Requests += int64(len(response.Executions))
	}
	return total
}

func fetch(ts *testscript.TestScript, address string, value any) {
	got := send(ts, []string{"GET", "http://" + address, "-H", "X-Script: 1"})
	ts.Check(got.err)
	ts.Check(json.Unmarshal(got.body, value))
}

// reportedUsage adds up the reports that the platform has received, each report ID once.
func reportedUsage(ts *testscript.TestScript) (ledger.Usage, error) {
	var response platformstub.ReportsResponse
	fetch(ts, ts.Getenv("PLATFORM")+"/reports", &response)
	bodies := make(map[string][]byte)
	fences := make(map[ident.Customer]ident.Fence)
	var total ledger.Usage
	for _, report := range response.Reports {
		if report.Fence < fences[report.Customer] {
			return total, fmt.Errorf("report %s has fencing number %d after %d", report.ID, report.Fence, fences[report.Customer])
		}
		fences[report.Customer] = report.Fence
		if earlier, found := bodies[report.ID]; found {
			if !bytes.Equal(earlier, report.Body) {
				return total, fmt.Errorf("report %s was sent as %s and as %s", report.ID, earlier, report.Body)
			}
			continue
		}
		bodies[report.ID] = report.Body
		var statement billing.Statement
		if err := json.Unmarshal(report.Body, &statement); err != nil {
			return total, err
		}
		total = total.Plus(statement.Usage)
	}
	return total, nil
}

// accounted checks that the output of the account command has exactly the statements that the platform has received for the
// account's partner: accounted FILE.
func accounted(ts *testscript.TestScript, _ bool, args []string) {
	first, _, _ := strings.Cut(ts.ReadFile(args[0]), "\n")
	var account operator.Account
	ts.Check(json.Unmarshal([]byte(first), &account))
	listed := make(map[string]bool)
	for _, statement := range account.Statements {
		listed[string(statement)] = true
	}
	var response platformstub.ReportsResponse
	fetch(ts, ts.Getenv("PLATFORM")+"/reports", &response)
	sent := make(map[string]bool)
	for _, report := range response.Reports {
		var statement billing.Statement
		ts.Check(json.Unmarshal(report.Body, &statement))
		if statement.Partner != account.Partner {
			continue
		}
		sent[string(report.Body)] = true
		if !listed[string(report.Body)] {
			ts.Fatalf("report %s is missing in the account", report.ID)
		}
	}
	if len(sent) != len(listed) || len(sent) == 0 {
		ts.Fatalf("found %d statements and %d reports, want equal numbers, and not 0", len(listed), len(sent))
	}
}
