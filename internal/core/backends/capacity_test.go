package backends_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/division"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Guards against dividing requests by servers that can't serve them: those without the other
// layers, on unknown cards, without layers, draining or suspected.
func TestCapacityCountsCompletePathsOfUsableServers(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	draining := server("d1", "d", "fast", 0, 40)
	draining.Draining = true
	f.Replace(0, []backends.Server{
		server("a1", "a", "fast", 0, 40), server("a2", "a", "fast", 40, 80), server("a3", "a", "fast", 40, 80),
		server("b1", "b", "fast", 0, 40), server("c1", "c", "unknown", 0, 40), server("c2", "c", "fast", 40, 80),
		draining, server("d2", "d", "fast", 40, 80), server("e1", "e", "fast", 0, 0),
	}, 1)
	sites := f.Capacities(0, []routes.Service{service()})["llm"].Sites
	g.Expect(sites["a"].Total).To(BeNumerically(">", 0))
	g.Expect(sites["a"].Free).To(Equal(sites["a"].Total))
	for _, dataCentre := range []string{"b", "c", "d", "e"} {
		g.Expect(sites[dataCentre]).To(Equal(division.Capacity{}), dataCentre)
	}
	f.AddLoad(backends.Load{First: "a1", Parts: []backends.LoadPart{{ID: "a1", Memory: service().Engine.RequestCapacity(service().Engine.Cards["fast"], 40) / 4}}})
	sites = f.Capacities(0, []routes.Service{service()})["llm"].Sites
	g.Expect(sites["a"].Free).To(BeNumerically("~", 0.75*sites["a"].Total, 1e-6), "the server with the least free memory")
	f.Suspect(0, "a1", time.Second)
	sites = f.Capacities(0, []routes.Service{service()})["llm"].Sites
	g.Expect(sites["a"]).To(Equal(division.Capacity{}))
}

// Guards against a capacity that ignores the slots of first servers, where requests would queue.
func TestCapacityIsLimitedBySlots(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	first := server("a1", "a", "fast", 0, 40)
	f.Replace(0, []backends.Server{first, server("a2", "a", "fast", 40, 80)}, 1)
	unlimited := f.Capacities(0, []routes.Service{service()})["llm"].Sites["a"]
	first.Slots = 4
	f.Put(0, first)
	limited := f.Capacities(0, []routes.Service{service()})["llm"].Sites["a"]
	g.Expect(limited.Total).To(BeNumerically("<", unlimited.Total))
	f.AddLoad(backends.Load{First: "a1"})
	g.Expect(f.Capacities(0, []routes.Service{service()})["llm"].Sites["a"].Free).To(BeNumerically("~", 0.75*limited.Total, 1e-6))
}

// Guards against plain services without capacity: theirs is counted in slots.
func TestCapacityOfPlainServicesIsInSlots(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		{ID: "p1", Address: "p1:1", Service: "plain", DataCentre: "a", Slots: 6}, {ID: "p2", Address: "p2:1", Service: "plain", DataCentre: "b", Slots: 3}, {ID: "p3", Address: "p3:1", Service: "plain", DataCentre: "b"},
	}, 1)
	f.AddLoad(backends.Load{First: "p1"})
	f.MarkFull(0, "p2")
	capacity := f.Capacities(0, []routes.Service{{Name: "plain"}})["plain"]
	g.Expect(capacity.Plain).To(BeTrue())
	g.Expect(capacity.Sites).To(Equal(map[string]division.Capacity{"a": {Total: 6, Free: 5}, "b": {Total: 4, Free: 1}}))
}

// Guards against a drawn data centre that is ignored, or that servers there can't be reached in.
func TestPreferredDataCentreReplacesHome(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80),
		server("s3", "b", "fast", 0, 40), server("s4", "b", "fast", 40, 80),
		{ID: "p1", Address: "p1:1", Service: "plain", DataCentre: "a", Slots: 6},
		{ID: "p2", Address: "p2:1", Service: "plain", DataCentre: "b", Slots: 6},
	}, 1)
	r := request()
	r.Preferred = "b"
	g.Expect(path(g, f, r)).To(Equal("s3[0,40) s4[40,80)"))
	choice, err := f.Instance(0, "plain", r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.First.ID).To(Equal("p2"))
	f.MarkFull(0, "s3")
	g.Expect(path(g, f, r)).To(Equal("s1[0,40) s2[40,80)"), "a drawn data centre that is full doesn't hold requests back")
	f.SetUnreachable(0, []string{"a", "b"})
	g.Expect(path(g, f, r)).To(Equal("s1[0,40) s2[40,80)"), "reachability counts from the VM's own data centre")
	choice, err = f.Instance(0, "plain", r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.First.ID).To(Equal("p1"))
}

// drawFleet returns two equal fleets of random servers in up to four data centres, with random loads.
func drawFleet(t *rapid.T) (with, without *backends.Fleet) {
	var list []backends.Server
	for i := range rapid.IntRange(4, 24).Draw(t, "servers") {
		from := 20 * rapid.IntRange(0, 3).Draw(t, "from")
		to := min(from+20*rapid.IntRange(1, 2).Draw(t, "parts"), 80)
		card := rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "card")
		s := server(fmt.Sprint("s", i), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "dataCentre"), card, from, to)
		s.Slots = rapid.IntRange(0, 8).Draw(t, "slots")
		list = append(list, s)
		list = append(list, backends.Server{ID: fmt.Sprint("p", i), Address: fmt.Sprint("p", i), Service: "plain", DataCentre: s.DataCentre, Slots: s.Slots})
	}
	with, without = backends.New(), backends.New()
	remote := make(map[string]backends.Usage)
	for _, s := range list {
		if rapid.Bool().Draw(t, "used") {
			remote[s.ID] = backends.Usage{Memory: rapid.Float64Range(0, 4e6).Draw(t, "memory"), Running: rapid.IntRange(0, 8).Draw(t, "running")}
		}
	}
	for _, f := range []*backends.Fleet{with, without} {
		f.Replace(0, list, 1)
		f.SetRemoteUsage(remote, 3)
	}
	return with, without
}

// Guards against changed choices, and more traffic between data centres, while demand fits in the
// data centres where it arrives.
func TestChoicesAreTheSameWhileDemandFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		with, without := drawFleet(t)
		services := []routes.Service{service(), {Name: "plain"}}
		capacities := with.Capacities(0, services)
		demand := make(map[string]map[string]division.Demand)
		for _, dataCentre := range []string{"a", "b", "c", "d"} {
			fits := 0.9 * rapid.Float64Range(0, 1).Draw(t, "demand")
			// A request a second holds a slot for a second.
			plain := capacities["plain"].Sites[dataCentre]
			demand[dataCentre] = map[string]division.Demand{
				"llm":   {Offered: fits * capacities["llm"].Sites[dataCentre].Total},
				"plain": {Offered: fits * plain.Total, Started: plain.Total - plain.Free},
			}
		}
		var divider division.Divider
		divider.Update(0, division.Observation{Home: "a", Demand: demand, Capacities: capacities})
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			u := rapid.Float64Range(0, 0.999).Draw(t, "u")
			for _, s := range services {
				r := request()
				expected, expectedErr := choose(without, s, r)
				r.Preferred = divider.Draw(0, s.Name, "a", u)
				choice, err := choose(with, s, r)
				g.Expect(choice).To(Equal(expected))
				g.Expect(err == nil).To(Equal(expectedErr == nil))
			}
		}
	})
}

// choose chooses a server or path and adds its load.
func choose(f *backends.Fleet, service routes.Service, r backends.Request) (choice backends.Choice, err error) {
	if service.Engine != nil {
		choice, err = f.Path(0, service, r)
	} else {
		choice, err = f.Instance(0, service.Name, r)
	}
	if err == nil {
		f.AddLoad(choice.Load(r.Prompt + r.Answer))
	}
	return choice, err
}

// BenchmarkCapacities measures what each VM calculates four times a second under demand.
func BenchmarkCapacities(b *testing.B) {
	for _, n := range []int{33, 770, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := backends.New()
			f.Replace(0, mixedRangeServers(n), 1)
			for b.Loop() {
				f.Capacities(0, []routes.Service{service()})
			}
		})
	}
}

// Guards against a division by figures that the configuration lacks, or that servers don't report.
func TestServersThatReportNothingHaveNoCapacity(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		{ID: "s1", Address: "s1:1", Service: "llm", DataCentre: "a"},
		{ID: "s2", Address: "s2:1", Service: "llm", DataCentre: "b", Card: "fast"},
		server("s3", "c", "fast", 0, 80),
	}, 1)
	for name, engine := range map[string]*routes.Engine{"no figures": {}, "no memory": {Layers: 80, Cards: service().Engine.Cards}} {
		capacities := f.Capacities(0, []routes.Service{{Name: "llm", Engine: engine}})
		g.Expect(division.Enabled(capacities)).To(BeFalse(), name)
		for dataCentre, capacity := range capacities["llm"].Sites {
			g.Expect(capacity).To(Equal(division.Capacity{}), "%s, %s", name, dataCentre)
		}
	}
}
