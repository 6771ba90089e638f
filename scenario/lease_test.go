package scenario

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/internal/stub/platformstub"
	"vanillapond/pkg/ident"
)

// leader waits until a lease has a holder other than the processes NOT, and sets NAME to the holder's process name:
// leader NAME LEASE [NOT]...
//
// NAME_SELF and NAME_PRIVATE are set to the holder's operator address and private address, NAME_OPERATOR to the operator address
// of an entry that is not the holder.
func leader(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, startTimeout, func() error {
		holder, err := holderOf(ts, args[1])
		if err != nil {
			return err
		}
		for _, excluded := range args[2:] {
			if string(holder.Process) == excluded {
				return fmt.Errorf("%s still holds lease %s", excluded, args[1])
			}
		}
		ts.Setenv(args[0], string(holder.Process))
		holderNumber := strings.TrimPrefix(string(holder.Process), "entry-")
		other := "OPERATOR1"
		if holderNumber == "1" {
			other = "OPERATOR2"
		}
		ts.Setenv(args[0]+"_OPERATOR", ts.Getenv(other))
		ts.Setenv(args[0]+"_SELF", ts.Getenv("OPERATOR"+holderNumber))
		ts.Setenv(args[0]+"_PRIVATE", ts.Getenv("PRIVATE"+holderNumber))
		return nil
	})
}

func holderOf(ts *testscript.TestScript, name string) (lease.Holder, error) {
	body, err := json.Marshal(platform.ReadRequest{Keys: []table.Key{lease.HolderKey(name)}})
	ts.Check(err)
	got := send(ts, []string{"POST", "http://" + ts.Getenv("PLATFORM") + platform.PathTableRead, "-H", "X-Script: 1", "-d", string(body)})
	var rows platform.RowsResponse
	if err := json.Unmarshal(got.body, &rows); err != nil || len(rows.Rows) != 1 {
		return lease.Holder{}, fmt.Errorf("status %d, body %s: %w", got.status, got.body, err)
	}
	var holder lease.Holder
	if err := json.Unmarshal(rows.Rows[0].Value, &holder); err != nil {
		return lease.Holder{}, fmt.Errorf("lease %s has no holder: %w", name, err)
	}
	if holder.Released {
		return lease.Holder{}, fmt.Errorf("lease %s is released", name)
	}
	return holder, nil
}

// ordered checks the orders that the platform did not refuse: ordered LEAST_ORDERS LEAST_FENCES
//
// It checks that the fencing numbers do not decrease, so that no holder's order comes after one of a later holder; that each
// fencing number is used by one sender; and that all orders with the same ID have the same content. There must be at least
// LEAST_ORDERS order IDs and LEAST_FENCES fencing numbers.
func ordered(ts *testscript.TestScript, _ bool, args []string) {
	var response platformstub.OrdersResponse
	got := send(ts, []string{"GET", "http://" + ts.Getenv("PLATFORM") + platform.PathOrders, "-H", "X-Script: 1"})
	ts.Check(json.Unmarshal(got.body, &response))
	senders := make(map[ident.Fence]ident.Process)
	contents := make(map[string]string)
	var lastFence ident.Fence
	response.Orders = slices.DeleteFunc(response.Orders, func(order platformstub.ReceivedOrder) bool { return order.Refused })
	for index, order := range response.Orders {
		if order.Fence < lastFence {
			ts.Fatalf("order %d: found fencing number %d after %d: %s", index, order.Fence, lastFence, got.body)
		}
		lastFence = order.Fence
		if sender, found := senders[order.Fence]; found && sender != order.Sender {
			ts.Fatalf("order %d: fencing number %d was used by %s and %s", index, order.Fence, sender, order.Sender)
		}
		senders[order.Fence] = order.Sender
		content := fmt.Sprint(order.Action, order.Domain, order.Pool, order.Endpoint)
		if earlier, found := contents[order.ID]; found && earlier != content {
			ts.Fatalf("order %d: ID %s was used for %s and %s", index, order.ID, earlier, content)
		}
		contents[order.ID] = content
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "%d sendings of %d orders by %d holders\n", len(response.Orders), len(contents), len(senders))
	if len(contents) < number(ts, args[0]) || len(senders) < number(ts, args[1]) {
		ts.Fatalf("found %d orders by %d holders, want at least %s by %s", len(contents), len(senders), args[0], args[1])
	}
}
