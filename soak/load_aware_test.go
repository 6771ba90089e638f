package soak_test

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"vanillapond/platform"
)

// firstLoadAwareSeed is the first seed in which the servers belong to a load-aware service and state their load, truly or not.
const firstLoadAwareSeed = 70_000

// loadHeaders writes the servers' load headers.
type loadHeaders struct {
	enabled bool
	mu      sync.Mutex
	// random draws what the headers say; guarded by mu.
	random *rand.Rand
}

func newLoadHeaders(seed uint64) *loadHeaders {
	return &loadHeaders{enabled: seed >= firstLoadAwareSeed && seed < firstTurnSeed, random: rand.New(rand.NewPCG(seed, firstLoadAwareSeed))}
}

// configure makes the plain service load-aware by an engine service beside it whose streams allow pauses of 300 ms.
func (l *loadHeaders) configure(configuration *platform.Configuration) {
	if !l.enabled {
		return
	}
	configuration.Services = append(configuration.Services, platform.Service{Name: "engines", Engine: &platform.Engine{BatchSize: 8, KVCacheTokens: 10_000, TokensPerEvent: 5}})
	configuration.Routes = append(configuration.Routes, platform.Route{
		Name: "engines", Host: host, PathPrefix: "/engines/", Kind: platform.Streaming, Timeout: 2000, Service: "engines", MaxServers: 1, MaxPause: 300,
	})
}

// write adds a load header to a response: in half of the cases a likely one, otherwise none, one that is false by any factor, or one that can't be read.
func (l *loadHeaders) write(header http.Header) {
	if !l.enabled {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch value := strconv.Itoa(l.random.IntN(4)); l.random.IntN(8) {
	case 0:
	case 1:
		header.Set(platform.HeaderServerLoad, "100000,100000,1,40000")
	case 2:
		header.Set(platform.HeaderServerLoad, "-1,0,"+value)
	case 3:
		header.Set(platform.HeaderServerLoad, value+",0")
	default:
		header.Set(platform.HeaderServerLoad, value+",0,4,"+strconv.Itoa(100+l.random.IntN(150)))
	}
}
