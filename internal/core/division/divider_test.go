package division_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/division"
)

const tick = 250 * time.Millisecond

// observation returns what a VM of data centre a sees of a service whose demand exceeds the
// capacity there.
func observation() division.Observation {
	return division.Observation{
		Home:   "a",
		Demand: map[string]map[string]division.Demand{"a": {"llm": {Offered: 180, Started: 100}}, "b": {}},
		Capacities: map[string]division.ServiceCapacity{
			"llm": {Sites: map[string]division.Capacity{"a": {Total: 100}, "b": {Total: 100, Free: 100}}},
		},
	}
}

func TestServiceThatStartsOrStopsToBeDividedIsReported(t *testing.T) {
	g := NewWithT(t)
	var d division.Divider
	changes := d.Update(0, observation())
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Service).To(Equal("llm"))
	g.Expect(changes[0].Divided).To(BeTrue())
	g.Expect(changes[0].Shares).To(Equal([]division.Share{{DataCentre: "b", Fraction: 0.5}}))
	g.Expect(changes[0].Sites["a"].Demand).To(Equal(180.0))
	g.Expect(d.Update(tick, observation())).To(BeEmpty())
	g.Expect(d.Draw(tick, "llm", "a", 0.2)).To(Equal("b"))
	g.Expect(d.Draw(tick, "llm", "a", 0.8)).To(Equal("a"))
	usual := observation()
	usual.Demand["a"]["llm"] = division.Demand{Offered: 20}
	stopped := time.Duration(0)
	for now := 2 * tick; now < 20*time.Second; now += tick {
		if changes := d.Update(now, usual); len(changes) > 0 {
			g.Expect(changes[0].Divided).To(BeFalse())
			g.Expect(stopped).To(BeZero(), "reported once")
			stopped = now
		}
	}
	g.Expect(stopped).To(And(BeNumerically(">", 2*time.Second), BeNumerically("<", 6*time.Second)))
}

// Guards against following an old plan after the hub is lost, and against keeping requests at home
// because of it once tallies arrive again.
func TestPlanExpiresWithoutTallies(t *testing.T) {
	g := NewWithT(t)
	var d division.Divider
	g.Expect(d.Draw(0, "llm", "a", 0)).To(Equal("a"), "a VM that has just started")
	d.Update(0, observation())
	g.Expect(d.Draw(1500*time.Millisecond, "llm", "a", 0)).To(Equal("b"))
	g.Expect(d.Draw(1501*time.Millisecond, "llm", "a", 0)).To(Equal("a"))
	g.Expect(d.Shares(1501*time.Millisecond, "llm", "a")).To(BeEmpty())
	d.Update(10*time.Second, observation())
	g.Expect(d.Draw(10*time.Second, "llm", "a", 0)).To(Equal("b"))
}

// Guards against sending requests to a data centre whose sums are missing: its own demand may fill
// its servers.
func TestDataCentreWithoutSumsTakesNothing(t *testing.T) {
	g := NewWithT(t)
	var d division.Divider
	seen := observation()
	delete(seen.Demand, "b")
	d.Update(0, seen)
	g.Expect(d.Draw(0, "llm", "a", 0)).To(Equal("a"))
	seen = observation()
	seen.Demand = nil
	d.Update(tick, seen)
	g.Expect(d.Draw(tick, "llm", "a", 0)).To(Equal("a"))
}

// Guards against a data centre that is cut off at full load and goes on sending requests to the
// others, which it can't reach.
func TestDataCentreThatIsCutOffKeepsItsRequests(t *testing.T) {
	g := NewWithT(t)
	var d division.Divider
	d.Update(0, observation())
	g.Expect(d.Draw(0, "llm", "a", 0)).To(Equal("b"))
	seen := observation()
	seen.Unreachable = []string{"a", "b"}
	d.Update(tick, seen)
	g.Expect(d.Draw(tick, "llm", "a", 0)).To(Equal("a"))
}

// Guards against changed decisions in deployments without engine figures, or with servers in one
// data centre.
func TestNothingIsDividedWithoutEnginesInTwoDataCentres(t *testing.T) {
	g := NewWithT(t)
	for name, capacities := range map[string]map[string]division.ServiceCapacity{
		"plain service": {"llm": {Plain: true, Sites: map[string]division.Capacity{"a": {Total: 4}, "b": {Total: 4, Free: 4}}}},
		"one data centre": {
			"llm":   {Sites: map[string]division.Capacity{"a": {Total: 100}}},
			"plain": {Plain: true, Sites: map[string]division.Capacity{"a": {Total: 4}, "b": {Total: 4, Free: 4}}},
		},
	} {
		var d division.Divider
		seen := observation()
		seen.Capacities = capacities
		seen.Demand["a"]["plain"] = division.Demand{Offered: 180, Started: 10}
		g.Expect(d.Update(0, seen)).To(BeEmpty(), name)
		for _, service := range []string{"llm", "plain"} {
			g.Expect(d.Draw(0, service, "a", 0)).To(Equal("a"), name)
		}
	}
}

// Guards against plain services that stay at home under overload: their capacity is in slots, and
// follows from the requests that start with the slots in use.
func TestPlainServicesAreDividedBySlots(t *testing.T) {
	g := NewWithT(t)
	var d division.Divider
	seen := observation()
	seen.Capacities["plain"] = division.ServiceCapacity{Plain: true, Sites: map[string]division.Capacity{"a": {Total: 10}, "b": {Total: 20, Free: 20}}}
	d.Update(0, seen)
	g.Expect(d.Draw(0, "plain", "a", 0)).To(Equal("a"), "no request has started")
	seen.Demand["a"]["plain"] = division.Demand{Offered: 180, Started: 100}
	var changes []division.Change
	for now := tick; now < 10*time.Second; now += tick {
		changes = append(changes, d.Update(now, seen)...)
	}
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Service).To(Equal("plain"))
	g.Expect(d.Shares(10*time.Second-tick, "plain", "a")[0].Fraction).To(BeNumerically("~", 90.0/180, 0.01), "10 slots take 100 requests a second")
}
