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

// leader waits until a lease has a holder other than those given, and sets NAME to its process: leader NAME LEASE [NOT]...
//
// NAME_OPERATOR becomes the operator address of an entry that is not the holder, NAME_SELF and
// NAME_PRIVATE are the holder's own.
func leader(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, startTimeout, func() error {
		holder, err := holderOf(ts, args[1])
		if err != nil {
			return err
		}
		for _, not := range args[2:] {
			if string(holder.Process) == not {
				return fmt.Errorf("%s still holds %s", not, args[1])
			}
		}
		ts.Setenv(args[0], string(holder.Process))
		own := strings.TrimPrefix(string(holder.Process), "entry-")
		other := "OPERATOR1"
		if own == "1" {
			other = "OPERATOR2"
		}
		ts.Setenv(args[0]+"_OPERATOR", ts.Getenv(other))
		ts.Setenv(args[0]+"_SELF", ts.Getenv("OPERATOR"+own))
		ts.Setenv(args[0]+"_PRIVATE", ts.Getenv("PRIVATE"+own))
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
		return lease.Holder{}, fmt.Errorf("no holder of %s: %w", name, err)
	}
	if holder.Released {
		return lease.Holder{}, fmt.Errorf("%s is released", name)
	}
	return holder, nil
}

// ordered checks the orders that the platform didn't refuse: ordered LEAST_ORDERS LEAST_FENCES
//
// No order is of an earlier holder than one before it, each fencing number has one sender, each id one meaning, and no id is
// carried out by a holder after it was decided anew.
func ordered(ts *testscript.TestScript, _ bool, args []string) {
	var log platformstub.OrdersAnswer
	got := send(ts, []string{"GET", "http://" + ts.Getenv("PLATFORM") + platform.PathOrders, "-H", "X-Script: 1"})
	ts.Check(json.Unmarshal(got.body, &log))
	senders := make(map[ident.Fence]ident.Process)
	meanings := make(map[string]string)
	var last ident.Fence
	log.Orders = slices.DeleteFunc(log.Orders, func(order platformstub.ReceivedOrder) bool { return order.Refused })
	for index, order := range log.Orders {
		if order.Fence < last {
			ts.Fatalf("order %d: found fence %d after %d: %s", index, order.Fence, last, got.body)
		}
		last = order.Fence
		if sender, found := senders[order.Fence]; found && sender != order.Sender {
			ts.Fatalf("order %d: found fence %d from %s and %s", index, order.Fence, sender, order.Sender)
		}
		senders[order.Fence] = order.Sender
		meaning := fmt.Sprint(order.Action, order.Domain, order.Pool, order.Endpoint)
		if before, found := meanings[order.ID]; found && before != meaning {
			ts.Fatalf("order %d: found id %s for %s and %s", index, order.ID, before, meaning)
		}
		meanings[order.ID] = meaning
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "%d sendings of %d orders by %d holders\n", len(log.Orders), len(meanings), len(senders))
	if len(meanings) < number(ts, args[0]) || len(senders) < number(ts, args[1]) {
		ts.Fatalf("found %d orders by %d holders, want at least %s by %s", len(meanings), len(senders), args[0], args[1])
	}
}
