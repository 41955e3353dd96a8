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

// stay is how long a usual request stays on the servers of a fast path, by streams
// measured on a quiet day; its memory is taken so long.
const stay = 1700 * time.Millisecond

// timed is the model with the times of its engine.
func timed() *routes.Engine {
	engine := model()
	engine.Step, engine.ReadPerSecond = 1020*time.Microsecond, 105_000
	engine.PerSequence, engine.PerContext = 7140*time.Nanosecond, 9560*time.Nanosecond
	return engine
}

// work is the requests a second times layers that a server's processor does, its steps
// shared by many requests.
func work(engine *routes.Engine, card routes.Card) float64 {
	read := float64(engine.Prompt) / engine.ReadPerSecond * card.Read
	write := float64(engine.Answer) * (engine.StepFor(1) - engine.Step).Seconds() * card.Pace
	return float64(engine.Layers) / (read + write)
}

// held is the requests a second times layers that so much memory bears.
func held(engine *routes.Engine, room float64) float64 {
	return room / engine.Usual() / stay.Seconds()
}

// rate is the most requests a second that a layout serves: a flow from servers, by what
// they do and bear, to the layers that they hold, each of which every request needs.
func rate(engine *routes.Engine, servers []spread.Server) float64 {
	low, high := 0.0, 10_000.0
	for range 40 {
		middle := (low + high) / 2
		if serves(engine, servers, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func serves(engine *routes.Engine, servers []spread.Server, wanted float64) bool {
	source, sink := 0, 1+len(servers)+engine.Layers
	network := flow.New(sink + 1)
	for i, s := range servers {
		network.AddArc(source, 1+i, min(work(engine, s.Card), held(engine, engine.Room(s.Card, s.Holds.Len()))))
		for layer := s.Holds.From; layer < s.Holds.To; layer++ {
			network.AddArc(1+i, 1+len(servers)+layer, flow.Unlimited)
		}
	}
	for layer := range engine.Layers {
		network.AddArc(1+len(servers)+layer, sink, wanted)
	}
	return network.Max(source, sink) >= wanted*float64(engine.Layers)*(1-1e-6)
}

// bound is above the rate of any layout: one copy of the layers lies where memory is not
// what binds, and takes what binds only then.
func bound(engine *routes.Engine, servers []spread.Server) float64 {
	sum, free := 0.0, 0.0
	perLayer := held(engine, engine.Room(routes.Card{MB: 2 * engine.LayerMB}, 1))
	for _, s := range servers {
		layers := s.Card.MB / engine.LayerMB
		bears := layers * perLayer
		does := work(engine, s.Card)
		sum += min(does, bears)
		free += max(bears-does, 0) / perLayer
	}
	missing := max(float64(engine.Layers)-free, 0)
	return (sum - missing*perLayer) / float64(engine.Layers)
}

// equal is the simplest plan: the servers of each kind that hold a copy in 0.8 of their
// memory share the layers equally, as often as they can.
func equal(engine *routes.Engine, servers []spread.Server) []spread.Server {
	placed := append([]spread.Server(nil), servers...)
	kinds := make(map[routes.Card][]int)
	for i, s := range placed {
		kinds[s.Card] = append(kinds[s.Card], i)
	}
	for card, group := range kinds {
		each := int(0.8 * float64(engine.Fits(card)))
		need := (engine.Layers + each - 1) / each
		for ; len(group) >= need; group = group[need:] {
			for n, at := range group[:need] {
				placed[at].Holds = api.Layers{From: n * engine.Layers / need, To: (n + 1) * engine.Layers / need}
			}
		}
	}
	return placed
}

// places are data centres of unlike servers: a few of everything, two fast ones with few
// others, and mostly slow ones.
var places = map[string][]spread.Server{
	"mixed": fleet(big, middle, middle, middle, middle, middle, middle, small, small, small, small, small),
	"fast":  fleet(big, big, middle, middle, small, small, small, small, small),
	"slow":  fleet(big, middle, middle, middle, small, small, small, small, small, small, small, small),
}

// BenchmarkQuality reports the requests a second that layouts serve, as shares of a bound
// on any layout: this package's and the simplest plan's.
func BenchmarkQuality(b *testing.B) {
	for name, servers := range places {
		b.Run(name, func(b *testing.B) {
			engine := timed()
			var placed []spread.Server
			for b.Loop() {
				placed = append([]spread.Server(nil), servers...)
				apply(b, engine, placed, spread.Plan(engine, placed))
			}
			b.ReportMetric(rate(engine, placed)/bound(engine, servers), "of-bound")
			b.ReportMetric(rate(engine, equal(engine, servers))/bound(engine, servers), "equal-of-bound")
			b.ReportMetric(bound(engine, servers), "bound-req/s")
		})
	}
}

// Symptom: a data centre serves less than the simplest plan would. Cause: a layout that
// is made for speed or for copies alone.
func TestALayoutServesMoreThanTheSimplestPlanAndLessThanTheBound(t *testing.T) {
	g := NewWithT(t)
	engine := timed()
	for name, servers := range places {
		placed := append([]spread.Server(nil), servers...)
		apply(t, engine, placed, spread.Plan(engine, placed))
		g.Expect(rate(engine, placed)).To(BeNumerically(">", rate(engine, equal(engine, servers))), name)
		g.Expect(rate(engine, placed)).To(BeNumerically("<=", bound(engine, servers)), name)
	}
}

// BenchmarkSmallExact compares with every layout of three servers and six layers.
func BenchmarkSmallExact(b *testing.B) {
	engine := timed()
	engine.Layers, engine.LayerMB, engine.TokenBytes = 6, 14_000, 918_000/13
	servers := fleet(big, middle, middle)
	best := 0.0
	for b.Loop() {
		best = exact(engine, append([]spread.Server(nil), servers...), 0)
	}
	placed := append([]spread.Server(nil), servers...)
	apply(b, engine, placed, spread.Plan(engine, placed))
	b.ReportMetric(rate(engine, placed)/best, "of-best")
}

func exact(engine *routes.Engine, servers []spread.Server, at int) float64 {
	if at == len(servers) {
		return rate(engine, servers)
	}
	best := 0.0
	for from := 0; from < engine.Layers; from++ {
		for to := from; to <= min(engine.Layers, from+engine.Fits(servers[at].Card)); to++ {
			servers[at].Holds = api.Layers{From: from, To: to}
			best = max(best, exact(engine, servers, at+1))
		}
	}
	return best
}
