package servermodel_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
)

// start is the time at which each simulation begins.
var start = time.Unix(1_784_000_000, 0)

// engineKind is a kind of engine, as in the deployments that the model was built for; a speed of 1 is nominal.
type engineKind struct {
	stepMS, stepMSPerRequest, tokensPerMS, baseMS float64
	tokensPerEvent                                int
}

var (
	firstKind  = engineKind{stepMS: 3.41, stepMSPerRequest: 0.097, tokensPerMS: 112, baseMS: 31, tokensPerEvent: 7}
	secondKind = engineKind{stepMS: 4.43, stepMSPerRequest: 0.0194, tokensPerMS: 38.1, baseMS: 1, tokensPerEvent: 5}
)

// request is a simulated request; its tokens are those that the engine prefills, unshared those that the router knows of for certain.
type request struct {
	instance         int
	sentAt           float64
	tokens, unshared float64
	ahead            ident.Tokens
	remaining        float64
	generated, total int
	stream           servermodel.Stream
}

// engine is a simulated engine; times are in milliseconds from the start.
type engine struct {
	id         ident.Endpoint
	speed      float64
	noise      float64
	noiseUntil float64
	nextAt     float64
	arrivesAt  float64
	prefilling []*request
	decoding   []*request
	started    int64
}

// fleet simulates engines and the router instances that measure them.
type fleet struct {
	kind    engineKind
	random  *rand.Rand
	models  []*servermodel.Model
	engines []*engine
	// perInstance is the number of requests per second of each instance at an engine of speed 1.
	perInstance float64
	// noisy is the fraction of time in which work takes 2.5 times as long, and hidesWork that the servers do not say so.
	noisy     float64
	hidesWork bool
	// header replaces the work figure of a server, nil for true ones.
	header func(e *engine, percent float64) float64
	// isolated reports that instances do not hear each other.
	isolated bool
	// alter changes an instance's report before it is sent.
	alter    func(instance int, report *servermodel.Report)
	gossipAt float64
	nowMS    float64
	findings map[servermodel.Cause]int
}

func newFleet(kind engineKind, seed uint64, instances int, speeds ...float64) *fleet {
	f := &fleet{kind: kind, random: rand.New(rand.NewPCG(seed, seed)), perInstance: 1, findings: make(map[servermodel.Cause]int)}
	for range instances {
		f.models = append(f.models, servermodel.New())
	}
	for index, speed := range speeds {
		e := &engine{id: ident.Endpoint(fmt.Sprintf("e%d", index)), speed: speed, noise: 1, started: 1}
		f.engines = append(f.engines, e)
	}
	return f
}

func (f *fleet) now() time.Time { return start.Add(time.Duration(f.nowMS * float64(time.Millisecond))) }

func (f *fleet) server(instance int, e *engine) *servermodel.Server {
	return f.models[instance].Track(ident.ServerStart{ID: e.id, StartedUnixMS: e.started})
}

// run simulates until a time in milliseconds.
func (f *fleet) run(untilMS float64) {
	const step = 1.0
	for ; f.nowMS < untilMS; f.nowMS += step {
		for _, e := range f.engines {
			f.arrive(e)
			f.work(e)
		}
		if f.nowMS >= f.gossipAt && !f.isolated {
			f.gossipAt = f.nowMS + max(100, 10*float64(len(f.models)))
			f.gossip()
		}
	}
}

func (f *fleet) gossip() {
	for from, model := range f.models {
		report := model.Report(f.now())
		if f.alter != nil {
			f.alter(from, &report)
		}
		if err := report.Check(); err != nil {
			panic(err)
		}
		for to, other := range f.models {
			if to != from {
				other.Merge(f.now(), ident.Process(fmt.Sprint(from)), report)
			}
		}
	}
}

// arrive adds the requests that arrive now. Their mix is as in the first deployment: 60% large, 20% medium, 20% urgent, with prompts such that prefills
// take a third of the engines' time. A tenth of them finds no cached prefix, which the router does not know.
func (f *fleet) arrive(e *engine) {
	rate := f.perInstance * float64(len(f.models)) * e.speed / 1000
	for e.arrivesAt <= f.nowMS {
		r := &request{instance: f.random.IntN(len(f.models)), sentAt: f.nowMS}
		var events int
		switch draw := f.random.Float64(); {
		case draw < 0.6:
			r.unshared, events = 0.2+f.random.ExpFloat64(), 7
		case draw < 0.8:
			r.unshared, events = 0.1+f.random.ExpFloat64()/2, 3
		default:
			r.unshared, events = 0.2, 40
		}
		const share, meanUnshared = 0.35, 1.0
		r.unshared *= share / meanUnshared * f.kind.tokensPerMS * 1000 / (f.perInstance * float64(len(f.models)))
		if r.tokens = r.unshared; f.random.Float64() < 0.1 {
			r.tokens *= 2
		}
		r.remaining, r.total = r.tokens, 1+(events-1)*f.kind.tokensPerEvent
		for _, other := range e.prefilling {
			if f.random.IntN(2) == 0 { // The router knows of half of the others.
				r.ahead += ident.Tokens(other.unshared)
			}
		}
		f.server(r.instance, e)
		e.prefilling = append(e.prefilling, r)
		e.arrivesAt += f.random.ExpFloat64() / rate
	}
}

// work simulates the engine's steps that end up to now.
func (f *fleet) work(e *engine) {
	if f.nowMS >= e.noiseUntil {
		e.noiseUntil, e.noise = f.nowMS+600, 1
		if f.random.Float64() < f.noisy {
			e.noise = 2.5
		}
	}
	for e.nextAt <= f.nowMS {
		chunk, unit := 4096.0, e.noise/e.speed
		duration := 0.0
		waiting := e.prefilling[:0:0]
		var begun []*request
		for _, r := range e.prefilling {
			if f.nowMS-r.sentAt < f.kind.baseMS*unit { // Time before the prefill, which does not occupy the engine.
				waiting = append(waiting, r)
				continue
			}
			part := min(chunk, r.remaining)
			chunk, duration, r.remaining = chunk-part, duration+part/f.kind.tokensPerMS, r.remaining-part
			if r.remaining > 0 {
				waiting = append(waiting, r)
			} else {
				begun = append(begun, r)
			}
		}
		e.prefilling = waiting
		if len(e.decoding) > 0 {
			duration += f.kind.stepMS + f.kind.stepMSPerRequest*float64(len(e.decoding))
		}
		if duration == 0 {
			e.nextAt = f.nowMS + 1
			return
		}
		e.nextAt = max(e.nextAt, f.nowMS-1) + duration*unit
		f.emit(e, begun)
	}
}

// emit passes the events at the end of the step on to the router instances.
func (f *fleet) emit(e *engine, begun []*request) {
	at := start.Add(time.Duration(e.nextAt * float64(time.Millisecond)))
	running := e.decoding[:0:0]
	for _, r := range e.decoding {
		if r.generated++; (r.generated-1)%f.kind.tokensPerEvent == 0 {
			server := f.server(r.instance, e)
			known := server.Figures(at)
			expected := time.Duration(f.kind.tokensPerEvent) * known.StepDuration(len(e.decoding))
			if took, found := r.stream.Next(at, expected); found {
				server.ObservePause(at, servermodel.Pause{Took: took, Tokens: f.kind.tokensPerEvent, Running: len(e.decoding)})
			}
		}
		if r.generated < r.total {
			running = append(running, r)
		}
	}
	for _, r := range begun {
		server := f.server(r.instance, e)
		if percent := 100 * e.noise; !f.hidesWork {
			if f.header != nil {
				percent = f.header(e, percent)
			}
			for _, finding := range server.ObserveLoad(at, servermodel.Load{WorkPercent: percent}) {
				f.findings[finding.Cause]++
			}
		}
		r.stream.Begin(at)
		took := time.Duration((e.nextAt - r.sentAt) * float64(time.Millisecond))
		server.ObserveFirstEvent(at, servermodel.FirstEvent{Took: took, Tokens: ident.Tokens(r.unshared), Ahead: r.ahead})
		r.generated = 1
		running = append(running, r)
	}
	e.decoding = running
}

// deviations returns by what factors, less one, an instance's figures differ from an engine's prefill rate and step duration at ten requests.
func (f *fleet) deviations(instance int, e *engine) (prefill, step float64) {
	known := f.server(instance, e).Figures(f.now())
	const running = 10
	return deviation(known.Rate, f.kind.tokensPerMS*e.speed),
		deviation((f.kind.stepMS+running*f.kind.stepMSPerRequest)/e.speed, known.StepMS+running*known.StepMSPerRequest)
}

// deviation returns by what factor two figures differ, less one.
func deviation(a, b float64) float64 { return max(a/b, b/a) - 1 }
