package spread_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/spread"
)

// Guards against a new server that takes layers with free capacity while others, with more capacity
// but more of it in use, limit the data centre.
func TestNewServerTakesTheLayersWithTheLeastFreeCapacityUnderDemand(t *testing.T) {
	g := NewWithT(t)
	servers := []spread.Server{
		{ID: "s1", Card: big, Held: api.Layers{From: 0, To: 28}, Utilization: 1},
		{ID: "s2", Card: big, Held: api.Layers{From: 0, To: 28}, Utilization: 0.95},
		{ID: "s3", Card: big, Held: api.Layers{From: 28, To: 56}, Utilization: 0.2},
		{ID: "s4", Card: big, Held: api.Layers{From: 56, To: 80}, Utilization: 0.2},
		{ID: "new", Card: big},
	}
	usual, demanded := spread.Plan(model(), servers), spread.PlanUnderDemand(model(), servers)
	g.Expect(usual).To(HaveLen(1))
	g.Expect(usual[0].Layers.From).To(BeNumerically(">=", 28), "the layers with one copy")
	g.Expect(demanded).To(HaveLen(1))
	g.Expect(demanded[0].Layers).To(Equal(api.Layers{From: 0, To: usual[0].Layers.Len()}))
	g.Expect(spread.PlanUnderDemand(model(), servers[:4])).To(Equal(spread.Plan(model(), servers[:4])), "no server is moved for it")
}

// Guards against additional weight loads, which take capacity while demand exceeds it.
func TestDemandCausesNoAdditionalLoads(t *testing.T) {
	cards := []routes.Card{big, middle, small}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var servers []spread.Server
		for range rapid.IntRange(1, 14).Draw(t, "servers") {
			s := fleet(rapid.SampledFrom(cards).Draw(t, "card"))[0]
			s.ID = string(rune('a' + len(servers)))
			s.Utilization = rapid.Float64Range(0, 1).Draw(t, "utilization")
			s.Lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0
			if rapid.IntRange(0, 3).Draw(t, "holds") > 0 {
				from := rapid.IntRange(0, 79).Draw(t, "from")
				s.Held = api.Layers{From: from, To: min(from+rapid.IntRange(1, model().MaxLayers(s.Card)).Draw(t, "layers"), 80)}
			}
			servers = append(servers, s)
		}
		g.Expect(loadedLayers(servers, spread.PlanUnderDemand(model(), servers))).To(Equal(loadedLayers(servers, spread.Plan(model(), servers))))
	})
}

// loadedLayers returns the number of layers that orders let servers load, by server.
func loadedLayers(servers []spread.Server, orders []spread.Order) map[string]int {
	held := make(map[string]api.Layers, len(servers))
	for _, s := range servers {
		held[s.ID] = s.Held
	}
	loads := make(map[string]int)
	for _, order := range orders {
		if count := order.Layers.Len() - order.Layers.Overlap(held[order.Server]).Len(); count > 0 {
			loads[order.Server] = count
		}
	}
	return loads
}
