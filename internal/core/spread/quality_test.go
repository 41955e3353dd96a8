package spread_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/route/flow"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/spread"
)

// residence is how long a typical request occupies memory on the servers of a fast copy, as
// measured from streams under light load.
const residence = 1700 * time.Millisecond

// timedModel returns the model with the timings of its engine.
func timedModel() *routes.Engine {
	engine := model()
	engine.Step, engine.ReadPerSecond = 1020*time.Microsecond, 105_000
	engine.PerSequence, engine.PerContext = 7140*time.Nanosecond, 9560*time.Nanosecond
	return engine
}

// computeRate returns the requests per second, times layers, that a server's processor can serve
// when its steps are shared by many requests.
func computeRate(engine *routes.Engine, card routes.Card) float64 {
	prefill := float64(engine.TypicalPrompt) / engine.ReadPerSecond * card.Read
	decode := float64(engine.TypicalAnswer) * (engine.StepTime(1) - engine.Step).Seconds() * card.Pace
	return float64(engine.Layers) / (prefill + decode)
}

// memoryRate returns the requests per second, times layers, that the given request memory can
// serve.
func memoryRate(engine *routes.Engine, tokens float64) float64 {
	return tokens / engine.TypicalTokens() / residence.Seconds()
}

// maxRate returns the highest number of requests per second that a layout serves. It is a
// maximum flow from the servers, bounded by compute and memory, to the layers that they hold;
// every request needs every layer.
func maxRate(engine *routes.Engine, servers []spread.Server) float64 {
	low, high := 0.0, 10_000.0
	for range 40 {
		middle := (low + high) / 2
		if canServe(engine, servers, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func canServe(engine *routes.Engine, servers []spread.Server, wanted float64) bool {
	source, sink := 0, 1+len(servers)+engine.Layers
	network := flow.New(sink + 1)
	for i, s := range servers {
		network.AddArc(source, 1+i, min(computeRate(engine, s.Card), memoryRate(engine, engine.RequestCapacity(s.Card, s.Held.Len()))))
		for layer := s.Held.From; layer < s.Held.To; layer++ {
			network.AddArc(1+i, 1+len(servers)+layer, flow.Unlimited)
		}
	}
	for layer := range engine.Layers {
		network.AddArc(1+len(servers)+layer, sink, wanted)
	}
	return network.Max(source, sink) >= wanted*float64(engine.Layers)*(1-1e-6)
}

// upperBound returns an upper bound on the rate of any layout: one copy of the layers is placed
// where memory is not the bottleneck, and only the rest takes memory that is.
func upperBound(engine *routes.Engine, servers []spread.Server) float64 {
	sum, free := 0.0, 0.0
	perLayer := memoryRate(engine, engine.RequestCapacity(routes.Card{MB: 2 * engine.LayerMB}, 1))
	for _, s := range servers {
		layers := s.Card.MB / engine.LayerMB
		memory := layers * perLayer
		compute := computeRate(engine, s.Card)
		sum += min(compute, memory)
		free += max(memory-compute, 0) / perLayer
	}
	missing := max(float64(engine.Layers)-free, 0)
	return (sum - missing*perLayer) / float64(engine.Layers)
}

// equalSplit returns the simplest layout: the servers of each kind that fit a copy in 0.8 of
// their memory share the layers equally, as many times as possible.
func equalSplit(engine *routes.Engine, servers []spread.Server) []spread.Server {
	placed := append([]spread.Server(nil), servers...)
	kinds := make(map[routes.Card][]int)
	for i, s := range placed {
		kinds[s.Card] = append(kinds[s.Card], i)
	}
	for card, group := range kinds {
		each := int(0.8 * float64(engine.MaxLayers(card)))
		need := (engine.Layers + each - 1) / each
		for ; len(group) >= need; group = group[need:] {
			for n, at := range group[:need] {
				placed[at].Held = api.Layers{From: n * engine.Layers / need, To: (n + 1) * engine.Layers / need}
			}
		}
	}
	return placed
}

// dataCentres are example data centres of heterogeneous servers: a few of everything, two fast
// servers with few others, and mostly slow ones.
var dataCentres = map[string][]spread.Server{
	"mixed": fleet(big, middle, middle, middle, middle, middle, middle, small, small, small, small, small),
	"fast":  fleet(big, big, middle, middle, small, small, small, small, small),
	"slow":  fleet(big, middle, middle, middle, small, small, small, small, small, small, small, small),
}

// BenchmarkQuality reports the requests per second that the layouts of this package and of
// equalSplit serve, as fractions of an upper bound for any layout.
func BenchmarkQuality(b *testing.B) {
	for name, servers := range dataCentres {
		b.Run(name, func(b *testing.B) {
			engine := timedModel()
			var placed []spread.Server
			for b.Loop() {
				placed = append([]spread.Server(nil), servers...)
				apply(b, engine, placed, spread.Plan(engine, placed))
			}
			b.ReportMetric(maxRate(engine, placed)/upperBound(engine, servers), "of-bound")
			b.ReportMetric(maxRate(engine, equalSplit(engine, servers))/upperBound(engine, servers), "equal-of-bound")
			b.ReportMetric(upperBound(engine, servers), "bound-req/s")
		})
	}
}

// Guards against layouts that optimize only for speed or only for the number of copies and serve
// less than the simplest plan.
func TestLayoutRateIsBetweenEqualSplitAndUpperBound(t *testing.T) {
	g := NewWithT(t)
	engine := timedModel()
	for name, servers := range dataCentres {
		placed := append([]spread.Server(nil), servers...)
		apply(t, engine, placed, spread.Plan(engine, placed))
		g.Expect(maxRate(engine, placed)).To(BeNumerically(">", maxRate(engine, equalSplit(engine, servers))), name)
		g.Expect(maxRate(engine, placed)).To(BeNumerically("<=", upperBound(engine, servers)), name)
	}
}

// BenchmarkSmallExact compares the planned layout with the best of all layouts of three servers
// and six layers.
func BenchmarkSmallExact(b *testing.B) {
	engine := timedModel()
	engine.Layers, engine.LayerMB, engine.TokenBytes = 6, 14_000, 918_000/13
	servers := fleet(big, middle, middle)
	best := 0.0
	for b.Loop() {
		best = bestRate(engine, append([]spread.Server(nil), servers...), 0)
	}
	placed := append([]spread.Server(nil), servers...)
	apply(b, engine, placed, spread.Plan(engine, placed))
	b.ReportMetric(maxRate(engine, placed)/best, "of-best")
}

func bestRate(engine *routes.Engine, servers []spread.Server, at int) float64 {
	if at == len(servers) {
		return maxRate(engine, servers)
	}
	best := 0.0
	for from := 0; from < engine.Layers; from++ {
		for to := from; to <= min(engine.Layers, from+engine.MaxLayers(servers[at].Card)); to++ {
			servers[at].Held = api.Layers{From: from, To: to}
			best = max(best, bestRate(engine, servers, at+1))
		}
	}
	return best
}
