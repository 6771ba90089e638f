package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/table"
	"vanillapond/internal/version/freshness"
	"vanillapond/internal/version/peer"
	"vanillapond/internal/version/replica"
	"vanillapond/internal/version/snapshot"
	"vanillapond/internal/version/store"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// process is one entry with the parts that take part in the exchange.
type process struct {
	replica *replica.Replica
	node    *peer.Node
	peer    freshness.Peer
	gate    *freshness.Gate
}

func startProcess(t *testing.T, name, secret string, versions *store.Store) *process {
	t.Helper()
	p := &process{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.node.ServeHTTP(w, r) }))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	p.peer = freshness.Peer{Name: name, Address: address, Domain: "sk-central-1"}
	events := event.New(event.Config{Process: ident.Process(name), Capacity: 16})
	p.replica = replica.New(replica.Config{Store: versions, Holder: new(snapshot.Holder), Events: events})
	p.gate = freshness.NewGate(freshness.New(freshness.Config{Address: address, Domain: "sk-central-1"}), nil)
	p.node = peer.New(peer.Config{
		Process: ident.Process(name), Address: address, Domain: "sk-central-1", Secret: secret,
		Replica: p.replica, Gate: p.gate, Events: events, Scheme: "http",
	})
	return p
}

func (p *process) commit(t *testing.T, patch configuration.Patch) {
	t.Helper()
	patch.Base = p.replica.Version()
	patch.ID = ident.Patch(fmt.Sprintf("p%d", patch.Base))
	if _, err := p.replica.Commit(t.Context(), patch, "", func(configuration.Configuration) error { return nil }); err != nil {
		t.Fatal(err)
	}
}

func billingPatch(window int64) configuration.Patch {
	return configuration.Patch{Billing: &configuration.Billing{WindowSeconds: window}}
}

// TestExchange checks that versions are exchanged in both directions, and evidence of freshness together with its age.
func TestExchange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	versions := store.New(store.Config{Table: table.NewMemory(), SnapshotEvery: 10000})
	writer, reader := startProcess(t, "entry-1", "secret", versions), startProcess(t, "entry-2", "secret", versions)
	writer.commit(t, billingPatch(1))
	writer.commit(t, configuration.Patch{Set: configuration.Entities{
		Partners:  []configuration.Partner{{ID: "vzorovna", Operators: []ident.KeyDigest{ident.DigestKey("operator")}}},
		Customers: []configuration.Customer{{ID: "school", Partner: "vzorovna", Weight: 1}},
	}})
	version, err := reader.node.Query(t.Context(), writer.peer, nil) // pulled
	is.NoErr(err)
	is.Equal(version, ident.Version(2))
	is.Equal(reader.replica.Current(), writer.replica.Current())
	is.True(!reader.gate.Open()) // the other entry has no evidence from the table either

	writer.commit(t, billingPatch(3))
	records, err := writer.replica.Since(2)
	is.NoErr(err)
	version, err = writer.node.Query(t.Context(), reader.peer, records) // pushed
	is.NoErr(err)
	is.Equal(version, ident.Version(3))
	is.Equal(reader.replica.Current(), writer.replica.Current())

	writer.gate.Do(func(tracker *freshness.Tracker, now clock.Reading) { tracker.ObserveTable(now.Add(-time.Second)) })
	_, err = reader.node.Query(t.Context(), writer.peer, nil)
	is.NoErr(err)
	is.True(reader.gate.Open())
	reader.gate.Do(func(tracker *freshness.Tracker, now clock.Reading) {
		is.True(tracker.Evidence(now).Table >= time.Second)
	})

	for window := range int64(300) { // more records than a process keeps
		writer.commit(t, billingPatch(window+1))
	}
	_, err = reader.node.Query(t.Context(), writer.peer, nil)
	is.NoErr(err)
	is.Equal(reader.replica.Current(), writer.replica.Current())
}

// TestWrongSecretRejected checks that a process with a wrong secret receives nothing and changes nothing.
func TestWrongSecretRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	versions := store.New(store.Config{Table: table.NewMemory(), SnapshotEvery: 10000})
	member, stranger := startProcess(t, "entry-1", "secret", versions), startProcess(t, "entry-2", "guess", versions)
	stranger.commit(t, billingPatch(1))
	records, err := stranger.replica.Since(0)
	is.NoErr(err)
	_, err = stranger.node.Query(t.Context(), member.peer, records)
	is.True(err != nil)
	is.Equal(member.replica.Version(), ident.Version(0))
	member.gate.Do(func(tracker *freshness.Tracker, now clock.Reading) { is.Equal(len(tracker.Peers(now)), 0) })
}

// TestMessageSizes measures the bytes of one query and its response, including headers, while the table is unavailable.
func TestMessageSizes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	versions := store.New(store.Config{Table: table.NewMemory(), SnapshotEvery: 10000})
	sender, receiver := startProcess(t, "entry-1", "secret", versions), startProcess(t, "entry-2", "secret", versions)
	count := new(byteCounter)
	receiver.peer.Address = count.proxy(t, receiver.peer.Address)
	const rounds = 20
	for range rounds {
		_, err := sender.node.Query(t.Context(), receiver.peer, nil)
		is.NoErr(err)
	}
	size := count.bytes.Load() / rounds
	t.Logf("a query and its response take %d bytes", size)
	is.True(size < 600)
}

// byteCounter counts the bytes of connections in both directions.
type byteCounter struct {
	bytes atomic.Int64
}

// proxy returns an address whose connections are forwarded to another address.
func (c *byteCounter) proxy(t *testing.T, address string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go c.forward(from, address)
		}
	}()
	return listener.Addr().String()
}

func (c *byteCounter) forward(from net.Conn, address string) {
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	go func() { _, _ = io.Copy(to, io.TeeReader(from, c)) }()
	_, _ = io.Copy(from, io.TeeReader(to, c))
}

// Write implements io.Writer.
func (c *byteCounter) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return len(data), nil
}

func post(t *testing.T, to *process, body []byte) int {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+to.peer.Address+peer.Path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Peer-Secret:secret")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// FuzzQuery checks that the response to an arbitrary body has status 200 or 400, and that it never decreases the version of the
// configuration.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{"", "\xa0", "\xa1\x01\x61a", "\xa3\x01\x61a\x02\x61b\x04\x20", "\xbf\xff", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p := startProcess(t, "entry-1", "secret", store.New(store.Config{Table: table.NewMemory(), SnapshotEvery: 10000}))
		p.commit(t, billingPatch(1))
		if status := post(t, p, body); status != http.StatusOK && status != http.StatusBadRequest {
			t.Fatalf("found status %d, want 200 or 400", status)
		}
		if p.replica.Version() < 1 {
			t.Fatal("version decreased")
		}
	})
}
