package testbed

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// The engine service of the sheet of vzorovna-sk and its route for streams that may be resumed.
const (
	Engines = ident.Pool("pond-llm")
	// DraftPath is the path prefix of the route.
	DraftPath = "/draft/"
	// DraftDeadline is how long clients of the route wait.
	DraftDeadline = 4 * time.Second
	engineSlots   = 64
	engineTokens  = 251543
)

// DraftConfiguration returns a configuration with the route for streams that may be resumed.
func DraftConfiguration(version ident.Version) platform.Configuration {
	customerTier := ident.Tier(1)
	return platform.Configuration{
		Version: version,
		Routes: []platform.Route{{
			Name: "template-draft", Host: Host, PathPrefix: DraftPath, Kind: platform.Streaming, Timeout: 4000, Objective: 500, Tier: 1,
			Service: Engines, MaxServers: 2, Resumable: true, CarriesPrompts: true, MaxPause: 250,
		}},
		Services: []platform.Service{{
			Name: Engines, HealthPath: "/healthz", MaxConnections: 360,
			Engine: &platform.Engine{BatchSize: engineSlots, KVCacheTokens: engineTokens, TokensPerEvent: 3},
		}},
		Limits:    platform.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3000, IdleTimeout: 15000},
		Customers: []platform.Customer{{Name: "hule930", Keys: []string{ClientKey}, Tier: &customerTier}},
	}
}

// Engine is a stand-in of a model server. Each event of its streams names the version of its software.
type Engine struct {
	bed    *Bed
	id     ident.Endpoint
	events int
	pause  time.Duration
	server *crashServer
	mu     sync.Mutex
	// registration is what the engine writes to the store; guarded by mu.
	registration platform.Server
}

// EngineConfig configures an engine. Its streams have a number of events, with a pause before each.
type EngineConfig struct {
	ID       ident.Endpoint
	Software ident.Software
	Events   int
	Pause    time.Duration
}

// AddEngine starts and registers an engine.
func (b *Bed) AddEngine(config EngineConfig) (*Engine, error) {
	e := &Engine{bed: b, id: config.ID, events: config.Events, pause: config.Pause}
	server, err := newCrashServer(b.Host(), http.HandlerFunc(e.serve))
	if err != nil {
		return nil, err
	}
	b.onClose(server.crash)
	e.server = server
	e.begin(config.Software)
	return e, nil
}

// begin registers a new start of the engine.
func (e *Engine) begin(software ident.Software) {
	e.mu.Lock()
	e.registration = platform.Server{
		ID: e.id, Service: Engines, Address: e.server.address, Domain: Zone, State: platform.ServerReady, Software: software,
		Slots: engineSlots, StartedUnixMS: time.Now().UnixMilli(),
	}
	registration := e.registration
	e.mu.Unlock()
	e.bed.Register(registration)
}

// Crash ends the engine's process: its connections are reset, and new ones are refused.
func (e *Engine) Crash() {
	e.server.crash()
	e.bed.Record("%s crashes", e.id)
}

// Restart starts the engine again under its id and at its address, and registers it at once.
func (e *Engine) Restart(software ident.Software) error {
	e.mu.Lock()
	e.registration.Software = software
	e.mu.Unlock()
	if err := e.server.start(); err != nil {
		return err
	}
	e.begin(software)
	return nil
}

func (e *Engine) software() ident.Software {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registration.Software
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(platform.HeaderExpectedServer); expected != "" && expected != string(e.id) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	software, request := e.software(), r.Header.Get(platform.HeaderRequestID)
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	e.bed.Record("%s (%s) runs %s from event %d on", e.id, software, request, after+1)
	header := w.Header()
	header.Set(platform.HeaderRequestID, request)
	header.Set(platform.HeaderSignature, "seal-"+request)
	header.Set("Content-Type", "text/event-stream")
	for event := after + 1; event <= e.events; event++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, software)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// Draft returns an attempt to get a draft.
func Draft(id string) Request {
	header := make(http.Header)
	platformtest.SetPrompt(header, platform.Prompt{
		Tokens: 1460, MaxOutput: 80,
		Parts: []platform.PromptPart{{ID: 0x5c1e07a2, Tokens: 800}, {ID: 0x91bd3f06, Tokens: 410}, {ID: uint64(time.Now().UnixNano()), Tokens: 250}},
	})
	return Request{ID: id, Method: http.MethodPost, Path: DraftPath + id, Key: ClientKey, Deadline: DraftDeadline, Header: header, Body: make([]byte, 4700)} //nolint:mnd // The mean size on the sheet.
}
