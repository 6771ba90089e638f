package router

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// PathState is where a running router tells what it believes, beside its counters.
const PathState = "/state"

// State is what a running router believes, for whoever is on call.
type State struct {
	Process     ident.Process     `json:"process"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Build       string            `json:"build"`
	Ready       bool              `json:"ready"`
	// Reason says why it is not ready.
	Reason string `json:"reason,omitempty"`
	// Version is that of the configuration in force, and ConfigAgeMS how old the knowledge is that it is the newest.
	Version      ident.Version `json:"version"`
	ConfigAgeMS  int64         `json:"config_age_ms"`
	ServersAgeMS int64         `json:"servers_age_ms"`
	StoreLost    bool          `json:"store_lost"`
	// Fence is of the duty's lease, 0 where another entry holds it.
	Fence ident.Fence `json:"fence,omitempty"`
	// UnreportedWindows counts the windows that are due and not reported, at the lease's holder.
	UnreportedWindows int `json:"usage_open,omitempty"`
	// RetriesRemaining is how many repeats the entry may make now, by service.
	RetriesRemaining map[ident.Pool]float64 `json:"repeats_left"`
	Peers            []PeerState            `json:"peers"`
	Servers          []ServerState          `json:"servers"`
}

// PeerState is another entry that counts as alive.
type PeerState struct {
	Process     ident.Process     `json:"process"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
}

// ServerState is what the router believes of one server.
type ServerState struct {
	Server  ident.Endpoint      `json:"server"`
	Service ident.Pool          `json:"service"`
	Address string              `json:"address"`
	Domain  ident.FailureDomain `json:"domain"`
	State   string              `json:"state"`
	// Local and Active count the requests there of this entry and of all.
	Local  int `json:"own"`
	Active int `json:"active"`
	Slots  int `json:"slots"`
	// Prefill is the prompt tokens that are still to be read there.
	Prefill ident.Tokens `json:"prefill,omitempty"`
	// Failures is the weighted share of this entry's requests that failed there, and Overdue counts those without an answer
	// long after it was expected.
	Failures float64 `json:"failures,omitempty"`
	Overdue  int     `json:"overdue,omitempty"`
	// EjectedMS is for how long it gets no new work because a connection failed or it was full.
	EjectedMS int64 `json:"out_ms,omitempty"`
	// Missing says that its entry is not in the store, perhaps since an outage.
	Missing bool `json:"missing,omitempty"`
}

// currentState gathers what the router believes now.
func (r *Router) currentState() State {
	now := time.Now()
	reason := r.unready()
	state := State{
		Process: r.settings.Process, Incarnation: r.incarnation, Build: r.build, Ready: reason == "", Reason: reason,
		Version: r.current.Version(), ConfigAgeMS: r.configAge().Milliseconds(), ServersAgeMS: r.serversAge().Milliseconds(),
		StoreLost: r.state.storeLost(), UnreportedWindows: r.reporter.UnreportedWindows(), RetriesRemaining: r.budgetsLeft(now),
	}
	if fence, _, held := r.lease.Held(); held {
		state.Fence = fence
	}
	for _, peer := range r.peers.Peers() {
		state.Peers = append(state.Peers, PeerState{Process: peer.Process, Incarnation: peer.Incarnation, Address: peer.Address.String()})
	}
	state.Servers = r.serverStates(now)
	return state
}

func (r *Router) serverStates(now time.Time) []ServerState {
	standings := make(map[ident.Endpoint]placement.ServerStatus)
	for _, board := range r.boards.all() {
		for _, standing := range board.ServerStatuses(now) {
			standings[standing.Server] = standing
		}
	}
	var states []ServerState
	for _, known := range r.servers.All() {
		standing := standings[known.ID]
		states = append(states, ServerState{
			Server: known.ID, Service: known.Service, Address: known.Address, Domain: known.Domain, State: string(known.State),
			Local: standing.Local.Active, Active: standing.Total.Active, Slots: known.Slots, Prefill: standing.Total.Prefill.Total(),
			Failures: standing.FailureRate, Overdue: standing.Overdue, EjectedMS: standing.EjectedFor.Milliseconds(), Missing: known.Missing(),
		})
	}
	slices.SortFunc(states, func(a, b ServerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return states
}

// answerState serves the state as JSON.
func (r *Router) answerState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.currentState()); err != nil {
		r.journal.Log("state_unsent", "err", err)
	}
}
