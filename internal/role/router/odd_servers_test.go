package router_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// oddServers returns entries in the table of servers that come from another writer; they name the address.
func oddServers(address string) map[string][]byte {
	entry := fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"a","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1}`, address)
	with := func(before, after string) []byte { return []byte(strings.Replace(entry, before, after, 1)) }
	return map[string][]byte{
		"empty": {}, "null": []byte("null"), "text": []byte(`"server"`), "list": []byte("[[[]]]"), "bytes": {0, 0xff, 0xfe, '{'},
		"cut":          []byte(entry[:len(entry)/2]),
		"deep":         bytes.Repeat([]byte("["), 60_000),
		"deep field":   with(`"Sequence":1`, `"Models":`+strings.Repeat(`{"a":`, 12_000)+"1"+strings.Repeat("}", 12_000)),
		"deep slots":   with(`"Slots":4`, `"Slots":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)),
		"large slots":  with(`"Slots":4`, `"Slots":4611686018427387904`),
		"larger slots": with(`"Slots":4`, `"Slots":1e400`),
		"fewer slots":  with(`"Slots":4`, `"Slots":-9223372036854775808`),
		"no slots":     with(`"Slots":4,`, ""),
		"text slots":   with(`"Slots":4`, `"Slots":"4"`),
		"long warm-up": with(`"ColdRemainingMs":0`, `"ColdRemainingMs":1e300`),
		"past warm-up": with(`"ColdRemainingMs":0`, `"ColdRemainingMs":-1e300`),
		"large start":  with(`"born":1`, `"born":99999999999999999999999999`),
		"early start":  with(`"born":1`, `"born":-9223372036854775808`),
		"large port":   with(address, "127.0.0.1:99999"),
		"larger port":  with(address, "127.0.0.1:99999999999999999999999999999999"),
		"no port":      with(address, "127.0.0.1"),
		"port 0":       with(address, "127.0.0.1:0"),
		"less port":    with(address, "127.0.0.1:-1"),
		"any address":  with("127.0.0.1", "0.0.0.0"),
		"multicast":    with("127.0.0.1", "224.0.0.1"),
		"name":         with("127.0.0.1", "localhost"),
		"long address": with(address, strings.Repeat("1", 60_000)),
		"long service": with(`"s"`, `"`+strings.Repeat("s", 60_000)+`"`),
		"no domain":    with(`"Zone":"a",`, ""),
		"long domain":  with(`"a"`, `"`+strings.Repeat("a", 60_000)+`"`),
		"no service":   with(`"Service":"s",`, ""),
		"odd state":    with(`"ready"`, `"asleep"`),
		"lists":        []byte(`{"Service":["s"],"Address":{},"Zone":1,"State":[]}`),
	}
}

// TestOddServerEntries checks that entries in the table of servers that come from another writer neither end a router nor stop it from following
// the table, name no server and leave the others in use, whether they are there before it starts, come later, or replace each other.
func TestOddServerEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var strays atomic.Int64
	decoy := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { strays.Add(1) }))
	t.Cleanup(decoy.Close)
	odd := oddServers(decoy.Listener.Addr().String())
	put := func(h *harness, prefix string) {
		for name, value := range odd {
			h.store.Put(platform.ServersTable, prefix+name, value)
		}
		h.store.Put(platform.ServersTable, strings.Repeat("k", 200), odd["deep"])
		h.store.Put(platform.ServersTable, "", odd["cut"])
		h.store.Put(platform.ServersTable, "a/b\r\nX-Tenant: x", odd["lists"])
	}
	h := startRoutersAfter(t, 1, func(h *harness) { put(h, "before ") })
	serves := func(server ident.Endpoint) {
		t.Helper()
		eventually(t, "only server "+string(server)+" known", func() bool {
			servers := h.state(t, 0).Servers
			return len(servers) == 1 && servers[0].Server == server
		})
		for range 20 {
			code, _ := h.send(0, "/p/x", "right")
			is.Equal(code, http.StatusOK)
		}
	}
	serves("i-1")
	put(h, "after ")
	h.store.TruncateHistory()
	h.startServer(t, "i-2")
	h.store.Delete(platform.ServersTable, "i-1")
	serves("i-2")
	for _, value := range odd {
		h.store.Put(platform.ServersTable, "changing", value)
	}
	// An entry of the server that is in use turns odd.
	h.startServer(t, "i-3")
	h.store.Put(platform.ServersTable, "i-2", odd["deep field"])
	serves("i-3")
	is.Equal(strays.Load(), int64(0))
	is.True(!strings.Contains(h.logs[0].String(), "event=panic"))
	for line := range strings.Lines(h.logs[0].String()) {
		is.True(len(line) < 2000)
	}
	h.stop()
}
