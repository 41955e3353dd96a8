package division_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/division"
)

// site returns a data centre whose servers are used by its own demand.
func site(demand, capacity float64) division.Site {
	return division.Site{Demand: demand, DemandKnown: true, Capacity: division.Capacity{Total: capacity, Free: max(capacity-demand, 0)}}
}

func input(sites map[string]division.Site) division.Input {
	return division.Input{Services: map[string]division.Service{"llm": {Sites: sites}}}
}

// fractions returns the shares of a data centre by name.
func fractions(plan division.Plan, home string) map[string]float64 {
	result := make(map[string]float64)
	for _, share := range plan.Shares("llm", home) {
		result[share.DataCentre] = share.Fraction
	}
	return result
}

// Guards against traffic between data centres, which is charged, while none is needed.
func TestDemandThatFitsStaysAtHome(t *testing.T) {
	g := NewWithT(t)
	plan := division.Divide(input(map[string]division.Site{"a": site(90, 100), "b": site(10, 100)}))
	g.Expect(plan.Shares("llm", "a")).To(BeEmpty())
	g.Expect(plan.Draw("llm", "a", 0)).To(Equal("a"))
	g.Expect(plan.Draw("unknown", "a", 0)).To(Equal("a"))
}

// Guards against a data centre that refuses requests while others are idle, and against sending
// away more than the excess.
func TestExcessGoesWhereCapacityIsFree(t *testing.T) {
	g := NewWithT(t)
	plan := division.Divide(input(map[string]division.Site{"a": site(180, 100), "b": site(30, 100), "c": site(60, 100), "d": site(90, 100)}))
	shares := fractions(plan, "a")
	g.Expect(shares).To(HaveLen(2))
	g.Expect(shares["b"]).To(BeNumerically("~", 60.0/180, 1e-6), "all of its room, since the excess of 90 exceeds the rooms")
	g.Expect(shares["c"]).To(BeNumerically("~", 30.0/180, 1e-6))
	drawn := map[string]int{}
	for i := range 1000 {
		drawn[plan.Draw("llm", "a", float64(i)/1000)]++
	}
	g.Expect(drawn["b"]).To(BeNumerically("~", 333, 2))
	g.Expect(drawn["a"]).To(BeNumerically("~", 500, 2))
}

// Guards against filling an expensive or slow link while a cheap one has capacity.
func TestLowestCostAndLinkLimits(t *testing.T) {
	g := NewWithT(t)
	in := division.Input{
		Services: map[string]division.Service{"llm": {BytesPerWork: 125_000, Sites: map[string]division.Site{"a": site(190, 100), "b": site(0, 100), "c": site(0, 100)}}},
		Links:    map[division.Route]division.Link{{From: "a", To: "b"}: {ByteCost: 2}, {From: "a", To: "c"}: {ByteCost: 1, Mbps: 40}},
	}
	shares := fractions(division.Divide(in), "a")
	g.Expect(shares["c"]).To(BeNumerically("~", 40.0/190, 1e-6), "as much as its link takes")
	g.Expect(shares["b"]).To(BeNumerically("~", 60.0/190, 1e-6), "the rest over the more expensive one")
}

// Guards against a data centre that has no server of a service and refuses all its requests.
func TestDataCentreWithoutServersSendsEverythingAway(t *testing.T) {
	g := NewWithT(t)
	plan := division.Divide(input(map[string]division.Site{"a": site(50, 0), "b": site(0, 100)}))
	g.Expect(fractions(plan, "a")["b"]).To(BeNumerically("~", 1, 1e-6))
}

// Guards against sending requests to a data centre of which nothing is known, or that can't be
// reached.
func TestUnknownAndUnreachableDataCentresTakeNothing(t *testing.T) {
	g := NewWithT(t)
	sites := map[string]division.Site{"a": site(180, 100), "b": {Capacity: division.Capacity{Total: 100, Free: 100}}, "c": site(0, 100), "d": site(0, 100)}
	in := input(sites)
	in.Unreachable = []string{"c"}
	shares := fractions(division.Divide(in), "a")
	g.Expect(shares).To(HaveLen(1))
	g.Expect(shares["d"]).To(BeNumerically("~", 0.5, 1e-6))
	in.Unreachable = []string{"b", "c", "d"}
	plan := division.Divide(in)
	g.Expect(plan.Shares("llm", "a")).To(BeEmpty(), "a data centre that is cut off uses only its own servers")
}

// Guards against requests that go on being sent to a lost data centre because the divided fraction
// decreases slowly.
func TestLostDataCentreIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	in := input(map[string]division.Site{"a": site(180, 100), "b": site(0, 100), "c": site(0, 100)})
	in.Previous = division.Divide(in)
	in.Elapsed = 250 * time.Millisecond
	g.Expect(fractions(in.Previous, "a")["b"]).To(BeNumerically("~", 0.25, 1e-6))
	in.Unreachable = []string{"b"}
	g.Expect(fractions(division.Divide(in), "a")).To(And(HaveLen(1), HaveKeyWithValue("c", BeNumerically("~", 0.5, 1e-6))))
}

// Guards against a division that swings between data centres since the excess is known late.
func TestFractionDecreasesByAQuarterASecond(t *testing.T) {
	g := NewWithT(t)
	in := input(map[string]division.Site{"a": site(180, 100), "b": site(0, 100)})
	plan := division.Divide(in)
	g.Expect(fractions(plan, "a")["b"]).To(BeNumerically("~", 0.5, 1e-6))
	in = input(map[string]division.Site{"a": site(40, 100), "b": site(0, 100)})
	for _, expected := range []float64{0.4375, 0.375, 0.3125} {
		in.Previous, in.Elapsed = plan, 250*time.Millisecond
		plan = division.Divide(in)
		g.Expect(fractions(plan, "a")["b"]).To(BeNumerically("~", expected, 1e-6))
	}
	in.Elapsed = 5 * time.Second
	plan = division.Divide(in)
	g.Expect(plan.Shares("llm", "a")).To(BeEmpty())
}

// Guards against dividing requests because a capacity is calculated too low: half of the servers'
// memory is free.
func TestFreeCapacityAtHomeIsUsedFirst(t *testing.T) {
	g := NewWithT(t)
	home := site(150, 100)
	home.Free = 60
	plan := division.Divide(input(map[string]division.Site{"a": home, "b": site(0, 100)}))
	g.Expect(plan.Shares("llm", "a")).To(BeEmpty())
}

func drawSites(t *rapid.T) map[string]division.Site {
	sites := make(map[string]division.Site)
	for i := range rapid.IntRange(1, 13).Draw(t, "dataCentres") {
		total := rapid.Float64Range(0, 100).Draw(t, "capacity")
		sites[fmt.Sprint("dc", i)] = division.Site{
			Demand: rapid.Float64Range(0, 200).Draw(t, "demand"), DemandKnown: rapid.IntRange(0, 9).Draw(t, "known") > 0,
			Capacity: division.Capacity{Total: total, Free: total * rapid.Float64Range(0, 1).Draw(t, "free")},
		}
	}
	return sites
}

// Guards against plans that send away more than there is, overload a data centre that has room, or
// send requests home or to unreachable data centres.
func TestPlansAreFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		in := input(drawSites(t))
		for name := range in.Services["llm"].Sites {
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				in.Unreachable = append(in.Unreachable, name)
			}
		}
		checkPlan(g, in, division.Divide(in), true)
		next := input(drawSites(t))
		next.Previous, next.Elapsed, next.Unreachable = division.Divide(in), 250*time.Millisecond, in.Unreachable
		checkPlan(g, next, division.Divide(next), false)
	})
}

func checkPlan(g *WithT, in division.Input, plan division.Plan, first bool) {
	inbound := make(map[string]float64)
	for home, s := range in.Services["llm"].Sites {
		sum := 0.0
		for _, share := range plan.Shares("llm", home) {
			g.Expect(share.DataCentre).NotTo(Equal(home))
			g.Expect(in.Unreachable).NotTo(ContainElement(share.DataCentre))
			g.Expect(share.Fraction).To(BeNumerically(">", 0))
			sum += share.Fraction
			inbound[share.DataCentre] += share.Fraction * s.Demand
		}
		g.Expect(sum).To(BeNumerically("<=", 1+1e-9))
		if first {
			g.Expect(sum * s.Demand).To(BeNumerically("<=", max(s.Demand-0.9*s.Total, 0)+1e-6))
		}
	}
	for name, work := range inbound {
		if s := in.Services["llm"].Sites[name]; first {
			g.Expect(work).To(BeNumerically("<=", max(min(0.9*s.Total-s.Demand, s.Free), 0)+1e-6))
		}
	}
}
