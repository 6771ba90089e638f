package servermodel_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
)

const (
	// tolerance is the target for the figures of engines of 0.6, 1.0 and 1.6 of nominal speed.
	tolerance = 0.15
	// fleetSize is the number of router instances of the first deployment.
	fleetSize = 21
	// warmUpMS is the time in which the lines of a service that nobody has measured are learned.
	warmUpMS = 5000.0
)

var kinds = map[string]engineKind{"first": firstKind, "second": secondKind}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// TestSpeedsFound guards against figures that unknown load, noise or mixed sizes of prompts distort: in the median over time, each engine's are
// within the tolerance at all instances.
func TestSpeedsFound(t *testing.T) {
	t.Parallel()
	for name, kind := range kinds {
		for mix, speeds := range map[string][]float64{"mixed": {0.6, 0.6, 1, 1, 1.6, 1.6}, "wide": {0.4, 0.4, 1, 1, 2.2, 2.2}} {
			t.Run(name+"_"+mix, func(t *testing.T) {
				t.Parallel()
				f := newFleet(kind, 1, fleetSize, speeds...)
				f.noisy = 0.15
				f.run(warmUpMS)
				type place struct{ engine, instance int }
				prefills, steps := make(map[place][]float64), make(map[place][]float64)
				for until := warmUpMS; until < warmUpMS+5000; until += 200 {
					f.run(until)
					for index, e := range f.engines {
						for instance := range f.models {
							prefill, step := f.deviations(instance, e)
							at := place{index, instance}
							prefills[at], steps[at] = append(prefills[at], prefill), append(steps[at], step)
						}
					}
				}
				for at := range prefills {
					if prefill, step := median(prefills[at]), median(steps[at]); prefill > tolerance || step > tolerance {
						t.Errorf("engine %v of speed %g: prefill rate off by %.3f, step by %.3f, want at most %g",
							at, speeds[at.engine], prefill, step, tolerance)
					}
				}
			})
		}
	}
}

// TestChangeWithinSecond guards against estimates that follow a change of speed too slowly. After one second of samples from all instances, each
// figure is nearer to the new speed than to the old one, and the median within the tolerance.
func TestChangeWithinSecond(t *testing.T) {
	t.Parallel()
	for name, kind := range kinds {
		var prefills, steps []float64
		for seed := range uint64(4) {
			f := newFleet(kind, seed, fleetSize, 0.6, 0.6, 1, 1, 1.6, 1.6)
			f.run(warmUpMS)
			f.engines[0].speed, f.engines[5].speed = 1, 1
			f.run(warmUpMS + 1000)
			for _, e := range []*engine{f.engines[0], f.engines[5]} {
				for instance := range f.models {
					prefill, step := f.deviations(instance, e)
					prefills, steps = append(prefills, prefill), append(steps, step)
				}
			}
		}
		t.Run(name+"_median", func(t *testing.T) {
			if prefill, step := median(prefills), median(steps); prefill > tolerance || step > tolerance {
				t.Errorf("prefill rate off by %.3f, step by %.3f, want at most %g", prefill, step, tolerance)
			}
		})
		t.Run(name+"_all", func(t *testing.T) {
			const halfway = 0.26 // The root of 1.6, less one; that of 1/0.6 is 0.29.
			if prefill, step := slices.Max(prefills), slices.Max(steps); prefill > halfway || step > halfway {
				t.Errorf("prefill rate off by up to %.3f, step by up to %.3f, want at most %g", prefill, step, halfway)
			}
		})
	}
}

// TestNoiseIsNoSlowServer guards against taking a server for one of 0.6 of nominal speed while its work takes 2.5 times as long for a moment.
func TestNoiseIsNoSlowServer(t *testing.T) {
	t.Parallel()
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(kind, 1, fleetSize, 1, 1, 1, 1)
			f.noisy = 0.15
			f.run(warmUpMS)
			slow, checks := 0, 0
			for until := warmUpMS; until < warmUpMS+8000; until += 200 {
				f.run(until)
				for _, e := range f.engines {
					known := f.server(0, e).Figures(f.now())
					checks++
					if known.Rate < 0.77*f.kind.tokensPerMS { // Nearer to 0.6 than to 1.
						slow++
					}
				}
			}
			if slow*20 > checks {
				t.Errorf("taken for slow in %d of %d checks, want at most a twentieth", slow, checks)
			}
		})
	}
}

// TestFalseHeaders guards against work figures that decide against the times of responses, and against unbounded ones.
func TestFalseHeaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(firstKind, 1, fleetSize, 1, 1, 1)
	f.header = func(e *engine, percent float64) float64 {
		if e.id != "e0" {
			return percent
		}
		return []float64{100, 100, 100, 100_000}[int(f.nowMS/300)%4]
	}
	for until := 0.0; until < 8000; until += 100 {
		f.run(until)
		known := f.server(0, f.engines[0]).Figures(f.now())
		is.True(known.Work >= 0.25 && known.Work <= 4)
		is.True(until < 6000 || known.Work == 1) // The responses take precedence.
	}
	is.True(f.findings[servermodel.WorkOutOfRange] > 0)
	is.True(f.findings[servermodel.WorkContradicted] > 0)
	is.Equal(f.server(0, f.engines[1]).ObserveFalseLoad(servermodel.Malformed), []servermodel.Finding{{Cause: servermodel.Malformed, First: true}})
	is.Equal(f.server(0, f.engines[1]).ObserveFalseLoad(servermodel.Malformed), []servermodel.Finding{{Cause: servermodel.Malformed}})
	is.Equal(f.server(0, f.engines[2]).ObserveLoad(f.now(), servermodel.Load{Slots: 9, OwnRunning: 8, RegisteredSlots: 128}),
		[]servermodel.Finding{{Cause: servermodel.RunningContradicted, First: true}, {Cause: servermodel.SlotsContradicted, First: true}})
}

// TestTrueWorkFigureIsTrusted guards against ignoring the figures of servers whose responses follow them.
func TestTrueWorkFigureIsTrusted(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		f := newFleet(firstKind, seed, fleetSize, 0.6, 1, 1, 1.6)
		f.noisy = 0.15
		f.run(10_000)
		is.New(t).Equal(f.findings[servermodel.WorkContradicted], 0)
	}
}

// TestRestart guards against figures of a server's earlier incarnation, whether this instance or a peer measured them.
func TestRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(firstKind, 1, 3, 0.6, 1, 1)
	f.run(warmUpMS)
	restarted := f.engines[0]
	is.True(f.server(0, restarted).Figures(f.now()).Prefill.Weight > 0)
	restarted.started++
	known := f.server(0, restarted).Figures(f.now())
	service := f.models[0].Service()
	is.Equal(known.Prefill.Weight+known.Step.Weight+known.WorkFigure.Weight, 0.0)
	is.Equal(known.Rate, service.Rate)
	f.models[0].Merge(f.now(), "1", f.models[1].Report(f.now())) // The peer has not seen the restart yet.
	is.Equal(f.server(0, restarted).Figures(f.now()).Prefill.Weight, 0.0)
}

// TestNewcomer guards against an instance that measures for seconds what its peers know: it has their figures with the first datagram of one.
func TestNewcomer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(firstKind, 1, fleetSize, 0.6, 0.6, 1, 1, 1.6, 1.6)
	f.run(4 * warmUpMS)
	report := f.models[0].Report(f.now())
	f.models = append(f.models, servermodel.New())
	newcomer := f.models[fleetSize]
	is.Equal(newcomer.Service().Rate, 64.0)
	is.Equal(newcomer.Service().BaseMS, 15.0)
	newcomer.Merge(f.now(), "0", report)
	slow, fast := f.server(fleetSize, f.engines[0]).Figures(f.now()), f.server(fleetSize, f.engines[5]).Figures(f.now())
	is.True(deviation(fast.Rate/slow.Rate, 1.6/0.6) < tolerance)
	weight := fast.Prefill.Weight
	newcomer.Merge(f.now(), "0", report) // The same datagram again replaces the first.
	is.Equal(f.server(fleetSize, f.engines[5]).Figures(f.now()).Prefill.Weight, weight)
	later := f.now().Add(4 * time.Second)
	newcomer.Merge(later, "1", servermodel.New().Report(later))
	newcomer.Track(ident.ServerStart{ID: "e5"})
	is.Equal(newcomer.Track(ident.ServerStart{ID: "e5", StartedUnixMS: 1}).Figures(later).Prefill.Weight, 0.0) // The report has expired.
}

// TestFalsePeer guards against a peer whose false report decides: among the instances of a fleet the figures stay within the tolerance.
func TestFalsePeer(t *testing.T) {
	t.Parallel()
	for _, bin := range []byte{0, 95} {
		f := newFleet(firstKind, 1, fleetSize, 1, 1, 1)
		f.alter = func(instance int, report *servermodel.Report) {
			if instance != fleetSize-1 {
				return
			}
			for id, server := range report.Servers {
				server.FirstEvents, server.Steps = []byte{bin, 192}, []byte{bin, 192}
				report.Servers[id] = server
			}
		}
		f.run(warmUpMS)
		var prefills, steps []float64
		for until := warmUpMS; until < 2*warmUpMS; until += 200 {
			f.run(until)
			for _, e := range f.engines {
				known := f.server(0, e).Figures(f.now())
				prefills = append(prefills, deviation(known.Rate, f.kind.tokensPerMS))
				steps = append(steps, deviation(known.StepMS+10*known.StepMSPerRequest, f.kind.stepMS+10*f.kind.stepMSPerRequest))
			}
		}
		if prefill, step := median(prefills), median(steps); prefill > tolerance || step > tolerance {
			t.Errorf("bin %d: prefill rate off by %.3f, step by %.3f, want at most %g", bin, prefill, step, tolerance)
		}
	}
}

// TestReportIsBounded guards against datagrams and state that grow with the servers or peers.
func TestReportIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	model := servermodel.New()
	for server := range 300 {
		tracked := model.Track(ident.ServerStart{ID: ident.Endpoint(fmt.Sprintf("i-%010d", server)), StartedUnixMS: 1_784_000_000_000})
		for sample := range 100 {
			took := time.Duration(1+sample) * time.Millisecond
			tracked.ObserveFirstEvent(start, servermodel.FirstEvent{Took: took, Tokens: ident.Tokens(sample * 300)})
			tracked.ObservePause(start, servermodel.Pause{Took: took, Tokens: 1, Running: sample})
		}
		tracked.ObserveLoad(start, servermodel.Load{WorkPercent: 250})
	}
	report := model.Report(start)
	is.Equal(len(report.Servers), 128)
	is.NoErr(report.Check())
	encoded, err := cbor.Marshal(report)
	is.NoErr(err)
	is.True(len(encoded) <= 16<<10) // Half of a datagram, with the widest spread of samples.
	report.Servers["one more"] = servermodel.ServerReport{}
	is.True(report.Check() != nil)
}

// TestAnyReport guards against reports that pass the check and then break the model: any such report leaves the figures within the limits.
func TestAnyReport(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		curve := rapid.Custom(func(t *rapid.T) servermodel.CurveReport {
			return servermodel.CurveReport{
				FixedMS: rapid.Float64().Draw(t, "fixed"), PerUnitMS: rapid.Float64().Draw(t, "per unit"),
				Samples: rapid.SliceOfN(rapid.ByteRange(0, 100), 0, 9).Draw(t, "samples"),
			}
		})
		server := rapid.Custom(func(t *rapid.T) servermodel.ServerReport {
			return servermodel.ServerReport{
				FirstEvents: rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "first"), Steps: rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "steps"),
				WorkPercent: rapid.Int64Range(-1, 500).Draw(t, "work"), WorkAgeMS: rapid.Int64Range(-1, 20_000).Draw(t, "age"),
			}
		})
		model := servermodel.New()
		tracked := model.Track(ident.ServerStart{ID: "a"})
		for index := range rapid.IntRange(1, 80).Draw(t, "reports") {
			report := servermodel.Report{
				Servers:     map[ident.Endpoint]servermodel.ServerReport{"a": server.Draw(t, "server")},
				FirstEvents: curve.Draw(t, "first events"), Steps: curve.Draw(t, "steps"),
			}
			if report.Check() != nil {
				continue
			}
			now := start.Add(time.Duration(index) * 100 * time.Millisecond)
			model.Merge(now, ident.Process(fmt.Sprint(index)), report)
			known, service := tracked.Figures(now), model.Service()
			if !(known.Rate > 0 && known.BaseMS > 0 && known.StepMS > 0 && known.StepMSPerRequest >= 0 && known.Work >= 0.25 && known.Work <= 4) {
				t.Fatalf("figures out of range: %+v", known)
			}
			if deviation(known.Rate, service.Rate) > 3.001 || deviation(known.StepMS, service.StepMS) > 3.001 {
				t.Fatalf("figures %+v beyond a factor of 4 of %+v", known, service)
			}
		}
	})
}

// TestStream guards against pauses that are too short because an event was delivered late, together with the next one, or has fewer tokens.
func TestStream(t *testing.T) {
	t.Parallel()
	const expected = 30 * time.Millisecond
	for name, c := range map[string]struct{ events, samples []int }{
		"first and last left out":      {[]int{4, 34, 64, 94, 98}, []int{30, 30}},
		"late event":                   {[]int{30, 60, 110, 120, 150, 180}, []int{30, 30, 30}},
		"delivered together":           {[]int{30, 120, 120, 120, 150, 180}, []int{30, 30}},
		"late first event":             {[]int{60, 70, 100, 130}, []int{30}},
		"no sample of a short stream":  {[]int{30, 60}, nil},
		"server that has become fast":  {[]int{10, 20, 30, 40, 50, 60}, []int{10}},
		"prompt beside a clean stream": {[]int{30, 60, 130, 160, 190}, []int{30, 70, 30}},
	} {
		t.Run(name, func(t *testing.T) {
			var stream servermodel.Stream
			stream.Begin(start)
			var samples []int
			for _, event := range c.events {
				if took, found := stream.Next(start.Add(time.Duration(event)*time.Millisecond), expected); found {
					samples = append(samples, int(took/time.Millisecond))
				}
			}
			is.New(t).Equal(samples, c.samples)
		})
	}
}

// BenchmarkSpeed measures reading the speeds of 300 servers, as each placement does.
func BenchmarkSpeed(b *testing.B) {
	model := servermodel.New()
	servers := make([]*servermodel.Server, 300)
	for index := range servers {
		servers[index] = model.Track(ident.ServerStart{ID: ident.Endpoint(fmt.Sprint(index))})
		servers[index].ObserveLoad(start, servermodel.Load{WorkPercent: 250})
	}
	for b.Loop() {
		for _, server := range servers {
			_ = server.Speed(start)
		}
	}
}

// BenchmarkMerge measures one report of 56 servers among those of 30 peers.
func BenchmarkMerge(b *testing.B) {
	f := newFleet(firstKind, 1, 31, make([]float64, 56)...)
	for _, e := range f.engines {
		e.speed = 1
	}
	f.run(1500)
	reports := make([]servermodel.Report, len(f.models))
	for index, model := range f.models {
		reports[index] = model.Report(f.now())
	}
	now, index := f.now(), 0
	for b.Loop() {
		index = index%30 + 1
		now = now.Add(10 * time.Millisecond)
		f.models[0].Merge(now, ident.Process(fmt.Sprint(index)), reports[index])
	}
}
