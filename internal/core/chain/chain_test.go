package chain_test

import (
	"math"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/chain"
)

func holder(id string, from, to int, cost float64) chain.Holder {
	return chain.Holder{ID: id, Address: id + ":1", Layers: api.Layers{From: from, To: to}, LayerCost: cost, HopCost: 0.1}
}

// Guards against paths that name a server twice, which servers reject with 400: a cheaper server
// holds the middle of another's range.
func TestServerIsOnAPathOnlyOnce(t *testing.T) {
	g := NewWithT(t)
	path, ok := chain.CheapestPath(0, 30, "", 1, []chain.Holder{holder("a", 0, 30, 2), holder("b", 10, 20, 0.1)})
	g.Expect(ok).To(BeTrue())
	g.Expect(path.CoversExactly(30)).To(BeTrue())
	g.Expect(path).To(HaveLen(1))
}

func TestOverlappingRangesAreUsedPartially(t *testing.T) {
	g := NewWithT(t)
	path, ok := chain.CheapestPath(0, 40, "", 1, []chain.Holder{holder("a", 0, 25, 1), holder("b", 15, 40, 3)})
	g.Expect(ok).To(BeTrue())
	g.Expect(path).To(Equal(chain.Path{
		{ID: "a", Address: "a:1", Layers: api.Layers{From: 0, To: 25}},
		{ID: "b", Address: "b:1", Layers: api.Layers{From: 25, To: 40}},
	}))
}

// Guards against filling the link between data centres that each have all layers: the cheapest
// server of each range is in another one, and the cost of crossing is left out.
func TestPathStaysInADataCentreWithAllLayers(t *testing.T) {
	g := NewWithT(t)
	at := func(dataCentre string, h chain.Holder) chain.Holder {
		h.DataCentre = dataCentre
		return h
	}
	holders := []chain.Holder{
		at("x", holder("a", 0, 10, 1)), at("x", holder("b", 10, 20, 2)),
		at("y", holder("c", 0, 10, 2)), at("y", holder("d", 10, 20, 1)),
	}
	path, ok := chain.CheapestPath(0, 20, "x", 50, holders)
	g.Expect(ok).To(BeTrue())
	g.Expect(path.String()).To(Equal("a[0,10) b[10,20)"))
	path, _ = chain.CheapestPath(0, 20, "x", 5, holders)
	g.Expect(path.String()).To(Equal("a[0,10) d[10,20)"))
}

func TestNoPathIfLayersAreUncovered(t *testing.T) {
	g := NewWithT(t)
	holders := []chain.Holder{holder("a", 0, 10, 1), holder("b", 12, 20, 1)}
	_, ok := chain.CheapestPath(0, 20, "", 1, holders)
	g.Expect(ok).To(BeFalse())
	g.Expect(chain.Uncovered(20, holders)).To(Equal([]api.Layers{{From: 10, To: 12}}))
}

// Guards against wrong tokens, which servers don't detect, from a path with a gap, an overlap or a
// repeated server.
func TestPathCoversTheLayersExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 40).Draw(t, "layers")
		var holders []chain.Holder
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			cost := rapid.Float64Range(0.1, 5).Draw(t, "cost")
			h := holder(string(rune('a'+i)), from, to, cost)
			h.DataCentre = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "dataCentre")
			holders = append(holders, h)
		}
		path, ok := chain.CheapestPath(0, layers, "", 1, holders)
		if ok != (len(chain.Uncovered(layers, holders)) == 0) {
			t.Fatalf("path found: %v, uncovered: %v", ok, chain.Uncovered(layers, holders))
		}
		if ok && !path.CoversExactly(layers) {
			t.Fatalf("%v does not cover %d layers exactly", path, layers)
		}
	})
}

// minCost is the minimum cost of all layers from the given one on, by exhaustive search. on is the
// holder that ran the previous layer, or -1 at the start.
func minCost(layer, layers, on int, dataCentre string, crossingCost float64, holders []chain.Holder) float64 {
	if layer == layers {
		return 0
	}
	least := math.Inf(1)
	for i, h := range holders {
		if layer < h.Layers.From || layer >= h.Layers.To {
			continue
		}
		cost := h.LayerCost
		if i != on {
			cost += h.HopCost
			switch {
			case layer == 0:
				cost += h.FirstCost
			case dataCentre != h.DataCentre:
				cost += crossingCost
			}
		}
		if !math.IsInf(cost, 1) {
			least = min(least, cost+minCost(layer+1, layers, i, h.DataCentre, crossingCost, holders))
		}
	}
	return least
}

// pathCost is the cost of a path.
func pathCost(path chain.Path, dataCentre string, crossingCost float64, holders []chain.Holder) float64 {
	sum := 0.0
	for _, part := range path {
		h := holders[slices.IndexFunc(holders, func(h chain.Holder) bool { return h.ID == part.ID })]
		sum += h.HopCost + h.LayerCost*float64(part.Layers.Len())
		switch {
		case part.Layers.From == 0:
			sum += h.FirstCost
		case dataCentre != h.DataCentre:
			sum += crossingCost
		}
		dataCentre = h.DataCentre
	}
	return sum
}

func TestPathHasMinimumCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 7).Draw(t, "layers")
		var holders []chain.Holder
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			h := holder(string(rune('a'+i)), from, rapid.IntRange(from+1, layers).Draw(t, "to"), float64(rapid.IntRange(1, 9).Draw(t, "cost")))
			h.DataCentre = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "dataCentre")
			h.FirstCost = float64(rapid.IntRange(0, 9).Draw(t, "first"))
			// High enough that no cheapest path returns to a server that it left.
			h.HopCost = 20
			holders = append(holders, h)
		}
		cross := rapid.SampledFrom([]float64{math.Inf(1), 3}).Draw(t, "cross")
		path, ok := chain.CheapestPath(0, layers, "x", cross, holders)
		least := minCost(0, layers, -1, "x", cross, holders)
		if ok == math.IsInf(least, 1) {
			t.Fatalf("path found: %v, minimum cost %v", ok, least)
		}
		if ok && math.Abs(pathCost(path, "x", cross, holders)-least) > 1e-9 {
			t.Fatalf("%v costs %v, the minimum is %v", path, pathCost(path, "x", cross, holders), least)
		}
	})
}

// Guards against a path starting at a server that must not get the request.
func TestPathDoesNotStartAtNotFirstHolder(t *testing.T) {
	g := NewWithT(t)
	limited := holder("a", 0, 40, 1)
	limited.NotFirst = true
	path, ok := chain.CheapestPath(0, 40, "", 1, []chain.Holder{limited, holder("b", 0, 10, 5)})
	g.Expect(ok).To(BeTrue())
	g.Expect(path).To(Equal(chain.Path{
		{ID: "b", Address: "b:1", Layers: api.Layers{From: 0, To: 10}},
		{ID: "a", Address: "a:1", Layers: api.Layers{From: 10, To: 40}},
	}))
	_, ok = chain.CheapestPath(0, 40, "", 1, []chain.Holder{limited})
	g.Expect(ok).To(BeFalse())
}
