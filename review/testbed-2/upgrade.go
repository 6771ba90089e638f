package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// Sizes and times of the case of servers that are upgraded in place.
const (
	upgradeMachines = 4
	upgradeServers  = 12
	upgradeWarmUp   = 9 * time.Second
	upgradeAfter    = 9 * time.Second
	streamInterval  = 25 * time.Millisecond
	streamEvents    = 120
	eventInterval   = 60 * time.Millisecond
	maxTries        = 2
	promptRepeats   = 25
	// Sizes of the prompts, in tokens, and the ids of their parts.
	promptTokens  = 715
	sessionTokens = 172
	outputTokens  = 180
	sessions      = 200
	firstSession  = 0x91bd3f00
	firstPrompt   = 0xe4000000
	// upgradeDowntime is how long an upgraded server is down, upgradeGap the time from one upgrade to the next, and upgradePause the time between
	// the two halves of the servers.
	upgradeDowntime = 650 * time.Millisecond
	upgradeGap      = 750 * time.Millisecond
	upgradePause    = 3 * time.Second
	maxMixed        = 2
)

// upgrade is the state of the case.
type upgrade struct {
	deployment *deployment
	servers    []*server
	mu         sync.Mutex
	// begun counts the streams with an event, whole those with all, takenUp the tries that took a stream up, and mixed holds the streams with events
	// of servers of two versions; guarded by mu.
	begun, whole, takenUp int
	mixed                 []string
}

// playUpgrade upgrades the servers of a service one after the other, each in place: it ends, and starts again under its id with the next version.
func playUpgrade(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, upgradeMachines)
	if err != nil {
		return false, err
	}
	defer d.close()
	u := &upgrade{deployment: d}
	for index := range upgradeServers {
		s, err := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+index), engineService, fmt.Sprintf("zone-%d", index%upgradeMachines+1), "v1", engineSlots, u.handle)
		if err != nil {
			return false, err
		}
		defer s.close()
		u.servers = append(u.servers, s)
	}
	if err := d.configure(1, shortPauseMS); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { u.sendStreams(stop) })
	time.Sleep(upgradeWarmUp)
	if trouble {
		u.upgradeAll()
	}
	time.Sleep(upgradeAfter)
	close(stop)
	callers.Wait()
	return u.judge(), nil
}

// upgradeAll upgrades all servers in turn.
func (u *upgrade) upgradeAll() {
	rec := u.deployment.record
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for index, s := range u.servers {
		if index == len(u.servers)/2 {
			time.Sleep(upgradePause)
		}
		rec.writef("server %s ends", s.id)
		s.crash()
		restarts.Go(func() {
			time.Sleep(upgradeDowntime)
			if err := s.restart("v2"); err != nil {
				rec.writef("server %s does not start again: %v", s.id, err)
			}
		})
		time.Sleep(upgradeGap)
	}
}

// handle sends the events of a stream behind the one that the caller has.
func (u *upgrade) handle(s *server, w http.ResponseWriter, r *http.Request) {
	version := s.software()
	stream := r.Header.Get(platform.HeaderRequestID)
	if resumed := r.Header.Get(platform.HeaderResumes); resumed != "" {
		stream = resumed
	}
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	if after > 0 {
		u.deployment.record.writef("stream %s goes on after event %d at server %s, software %s", stream, after, s.id, version)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for number := after + 1; number <= streamEvents; number++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		event := fmt.Appendf(nil, "id: %d\ndata: %s/%d@%s\n\n", number, stream, number, version)
		if _, err := w.Write(event); err != nil || flush.Flush() != nil { //nolint:gosec // No browser reads it.
			return
		}
	}
}

func (u *upgrade) sendStreams(stop chan struct{}) {
	client := newCaller("57e4", true)
	var streams sync.WaitGroup
	defer streams.Wait()
	ticker := time.NewTicker(streamInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		streams.Go(func() { u.sendStream(client, count) })
	}
}

// sendStream requests a stream and takes it up once at another machine if it breaks off.
func (u *upgrade) sendStream(client *caller, count int) {
	first := client.newID()
	var versions []string
	last, taken := 0, 0
	for try := range maxTries {
		m := u.deployment.machines[(count+try)%len(u.deployment.machines)]
		id, header := first, promptHeader(count)
		if try > 0 {
			id = client.newID()
			if last > 0 {
				taken++
				header[platform.HeaderResumes], header[platform.HeaderLastEventID] = first, strconv.Itoa(last)
			}
		}
		last = u.readStream(client, m, id, header, first, last, &versions)
		if last == streamEvents {
			break
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.takenUp += taken
	if last > 0 {
		u.begun++
	}
	if last == streamEvents {
		u.whole++
	}
	if len(versions) > 1 {
		u.mixed = append(u.mixed, first)
		u.deployment.record.writef("stream %s has events of versions %v", first, versions)
	}
}

// promptHeader returns the headers of a prompt that shares its first part with others of its session.
func promptHeader(count int) map[string]string {
	set := make(http.Header)
	platformtest.SetPrompt(set, platform.Prompt{
		Tokens: promptTokens, MaxOutput: outputTokens, Parts: []platform.PromptPart{
			{ID: uint64(firstSession + count%sessions), Tokens: sessionTokens}, {ID: uint64(firstPrompt + count), Tokens: promptTokens - sessionTokens}, //nolint:gosec // Not negative.
		},
	})
	header := map[string]string{"X-Model": "m"}
	for name := range set {
		header[name] = set.Get(name)
	}
	return header
}

// readStream sends one request for a stream and reads the events; it returns the number of the last one. Each stream has a prompt of its own.
func (u *upgrade) readStream(client *caller, m *machine, id string, header map[string]string, stream string, last int, versions *[]string) int {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeoutMS*time.Millisecond)
	defer cancel()
	response, err := client.open(ctx, m, http.MethodPost, chatPrefix+"2f", id, streamTimeoutMS*time.Millisecond, strings.NewReader(strings.Repeat("prompt of "+stream+"; ", promptRepeats)), header)
	if err != nil {
		return last
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		u.deployment.record.writef("request %s: status %d, %s", id, response.StatusCode, strings.TrimSpace(string(content)))
		return last
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		last++
		_, version, _ := strings.Cut(text, "@")
		if !slices.Contains(*versions, version) {
			*versions = append(*versions, version)
		}
	}
	return last
}

func (u *upgrade) judge() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.deployment.record.conclude("%d streams began, %d are whole, %d tries took one up; %d hold events of two versions, the rule allows %d",
		u.begun, u.whole, u.takenUp, len(u.mixed), maxMixed)
	return len(u.mixed) > maxMixed
}
