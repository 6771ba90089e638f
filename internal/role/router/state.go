package router

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// PathState is the path on the metrics port that serves the router's current state.
const PathState = "/state"

// State is a running router's view of itself, its peers and the servers, for diagnosis by operators.
type State struct {
	Process     ident.Process     `json:"process"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Build       string            `json:"build"`
	Ready       bool              `json:"ready"`
	// Reason is why the router is not ready.
	Reason string `json:"reason,omitempty"`
	// Version is the version of the configuration in force, and ConfigAgeMS the time since it was last confirmed to be the newest.
	Version      ident.Version `json:"version"`
	ConfigAgeMS  int64         `json:"config_age_ms"`
	ServersAgeMS int64         `json:"servers_age_ms"`
	StoreLost    bool          `json:"store_lost"`
	// Fence is the fencing number of the lease for usage reports; 0 if another instance holds the lease.
	Fence ident.Fence `json:"fence,omitempty"`
	// UnreportedWindows counts the usage windows that are due and not yet reported; only the lease holder has any.
	UnreportedWindows int `json:"usage_open,omitempty"`
	// RetriesRemaining is how many retries the budget allows now, by service.
	RetriesRemaining map[ident.Pool]float64 `json:"repeats_left"`
	Peers            []PeerState            `json:"peers"`
	Servers          []ServerState          `json:"servers"`
}

// PeerState describes another router instance that counts as live.
type PeerState struct {
	Process     ident.Process     `json:"process"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
}

// ServerState is the router's view of one server.
type ServerState struct {
	Server  ident.Endpoint      `json:"server"`
	Service ident.Pool          `json:"service"`
	Address string              `json:"address"`
	Domain  ident.FailureDomain `json:"domain"`
	State   string              `json:"state"`
	// Local and Active count the server's requests that came from this instance and from all instances.
	Local  int `json:"own"`
	Active int `json:"active"`
	Slots  int `json:"slots"`
	// Prefill is the number of prompt tokens that the server has yet to process.
	Prefill ident.Tokens `json:"prefill,omitempty"`
	// Failures is the weighted fraction of this instance's requests that failed at the server. Overdue counts its requests that
	// have still got no first byte long after one was expected.
	Failures float64 `json:"failures,omitempty"`
	Overdue  int     `json:"overdue,omitempty"`
	// EjectedMS is for how long the server gets no new requests from this instance, because a connection failed or the server was
	// full.
	EjectedMS int64 `json:"out_ms,omitempty"`
	// SpeedState is the server's estimated speed; only servers of load-aware engine services have one.
	*SpeedState
	// Health is the state by the results of all instances, of plain servers of load-aware services, HealthCause why it is not healthy, and
	// HealthInstances how many instances' results show that.
	Health          placement.HealthState `json:"health,omitempty"`
	HealthCause     placement.Cause       `json:"health_cause,omitempty"`
	HealthInstances int                   `json:"health_instances,omitempty"`
	// Missing reports that the server is used although its registration is not in the store, as after an outage of the store.
	Missing bool `json:"missing,omitempty"`
}

// currentState returns a snapshot of the router's state.
func (r *Router) currentState() State {
	now := time.Now()
	reason := r.notReadyReason()
	state := State{
		Process: r.settings.Process, Incarnation: r.incarnation, Build: r.build, Ready: reason == "", Reason: reason,
		Version: r.configuration.Version(), ConfigAgeMS: r.configAge().Milliseconds(), ServersAgeMS: r.serversAge().Milliseconds(),
		StoreLost: r.health.storeUnavailable(), UnreportedWindows: r.reporter.UnreportedWindows(),
		RetriesRemaining: r.retriesRemaining(clock.Boot()),
	}
	if fence, _, held := r.lease.Held(); held {
		state.Fence = fence
	}
	for _, peer := range r.peers.Peers() {
		state.Peers = append(state.Peers, PeerState{
			Process: peer.Process, Incarnation: peer.Incarnation, Address: peer.Address.String(),
		})
	}
	state.Servers = r.serverStates(now)
	return state
}

func (r *Router) serverStates(now time.Time) []ServerState {
	statusByServer := make(map[ident.Endpoint]placement.ServerStatus)
	for _, balancer := range r.balancers.all() {
		for _, status := range balancer.ServerStatuses(now) {
			statusByServer[status.Server] = status
		}
	}
	var states []ServerState
	for _, server := range r.servers.All() {
		status := statusByServer[server.ID]
		states = append(states, ServerState{
			Server: server.ID, Service: server.Service, Address: server.Address, Domain: server.Domain, State: string(server.State),
			Local: status.Local.Active, Active: status.Total.Active, Slots: server.Slots, Prefill: status.Total.Prefill.Total(),
			SpeedState: speedState(now, status),
			Failures:   status.FailureRate, Overdue: status.Overdue, EjectedMS: status.EjectedFor.Milliseconds(), Missing: server.Missing(),
			Health: status.Health, HealthCause: status.Cause, HealthInstances: status.Instances,
		})
	}
	slices.SortFunc(states, func(a, b ServerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return states
}

// serveState serves the state as JSON.
func (r *Router) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.currentState()); err != nil {
		r.journal.Log("state_unsent", "err", err)
	}
}
