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
	return chain.Holder{ID: id, Address: id + ":1", Layers: api.Layers{From: from, To: to}, Cost: cost, Hop: 0.1}
}

// Symptom: a server answers 400 to a path that names it twice. Sequence: a
// cheaper server holds the middle of its range. Cause: the cheapest way leaves
// the server and comes back.
func TestAServerIsOnAPathOnce(t *testing.T) {
	g := NewWithT(t)
	path, ok := chain.Find(0, 30, "", 1, []chain.Holder{holder("a", 0, 30, 2), holder("b", 10, 20, 0.1)})
	g.Expect(ok).To(BeTrue())
	g.Expect(path.Tiles(30)).To(BeTrue())
	g.Expect(path).To(HaveLen(1))
}

func TestOverlappingRangesAreUsedInPart(t *testing.T) {
	g := NewWithT(t)
	path, ok := chain.Find(0, 40, "", 1, []chain.Holder{holder("a", 0, 25, 1), holder("b", 15, 40, 3)})
	g.Expect(ok).To(BeTrue())
	g.Expect(path).To(Equal(chain.Path{
		{ID: "a", Address: "a:1", Layers: api.Layers{From: 0, To: 25}},
		{ID: "b", Address: "b:1", Layers: api.Layers{From: 25, To: 40}},
	}))
}

// Symptom: the pipe between two data centres is full though each has a copy of its
// own. Sequence: the cheapest server of each range is in another one. Cause: the
// price of a crossing is left out.
func TestAPathStaysInADataCentreThatHasAllLayers(t *testing.T) {
	g := NewWithT(t)
	at := func(place string, h chain.Holder) chain.Holder {
		h.Place = place
		return h
	}
	holders := []chain.Holder{
		at("x", holder("a", 0, 10, 1)), at("x", holder("b", 10, 20, 2)),
		at("y", holder("c", 0, 10, 2)), at("y", holder("d", 10, 20, 1)),
	}
	path, ok := chain.Find(0, 20, "x", 50, holders)
	g.Expect(ok).To(BeTrue())
	g.Expect(path.String()).To(Equal("a[0,10) b[10,20)"))
	path, _ = chain.Find(0, 20, "x", 5, holders)
	g.Expect(path.String()).To(Equal("a[0,10) d[10,20)"))
}

func TestAGapLeavesNoPath(t *testing.T) {
	g := NewWithT(t)
	holders := []chain.Holder{holder("a", 0, 10, 1), holder("b", 12, 20, 1)}
	_, ok := chain.Find(0, 20, "", 1, holders)
	g.Expect(ok).To(BeFalse())
	g.Expect(chain.Uncovered(20, holders)).To(Equal([]api.Layers{{From: 10, To: 12}}))
}

// Symptom: wrong tokens that no one notices. Sequence: any mix of ranges. Cause:
// a path with a gap, an overlap or a server twice, which servers don't check.
func TestEachPathTilesTheLayers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 40).Draw(t, "layers")
		var holders []chain.Holder
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			cost := rapid.Float64Range(0.1, 5).Draw(t, "cost")
			h := holder(string(rune('a'+i)), from, to, cost)
			h.Place = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "place")
			holders = append(holders, h)
		}
		path, ok := chain.Find(0, layers, "", 1, holders)
		if ok != (len(chain.Uncovered(layers, holders)) == 0) {
			t.Fatalf("path found: %v, uncovered: %v", ok, chain.Uncovered(layers, holders))
		}
		if ok && !path.Tiles(layers) {
			t.Fatalf("%v does not tile %d layers", path, layers)
		}
	})
}

// cheapest is the least price of all layers from one on, by going through them one by one:
// on is the holder that ran the layer before, or -1 at the start in a place.
func cheapest(layer, layers, on int, place string, cross float64, holders []chain.Holder) float64 {
	if layer == layers {
		return 0
	}
	least := math.Inf(1)
	for i, h := range holders {
		if layer < h.Layers.From || layer >= h.Layers.To {
			continue
		}
		price := h.Cost
		if i != on {
			price += h.Hop
			switch {
			case layer == 0:
				price += h.First
			case place != h.Place:
				price += cross
			}
		}
		if !math.IsInf(price, 1) {
			least = min(least, price+cheapest(layer+1, layers, i, h.Place, cross, holders))
		}
	}
	return least
}

// price is what a path costs.
func price(path chain.Path, place string, cross float64, holders []chain.Holder) float64 {
	sum := 0.0
	for _, part := range path {
		h := holders[slices.IndexFunc(holders, func(h chain.Holder) bool { return h.ID == part.ID })]
		sum += h.Hop + h.Cost*float64(part.Layers.Len())
		switch {
		case part.Layers.From == 0:
			sum += h.First
		case place != h.Place:
			sum += cross
		}
		place = h.Place
	}
	return sum
}

func TestThePathIsTheCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 7).Draw(t, "layers")
		var holders []chain.Holder
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			h := holder(string(rune('a'+i)), from, rapid.IntRange(from+1, layers).Draw(t, "to"), float64(rapid.IntRange(1, 9).Draw(t, "cost")))
			h.Place = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "place")
			h.First = float64(rapid.IntRange(0, 9).Draw(t, "first"))
			// Dear enough that no way comes back to a server that it left.
			h.Hop = 20
			holders = append(holders, h)
		}
		cross := rapid.SampledFrom([]float64{math.Inf(1), 3}).Draw(t, "cross")
		path, ok := chain.Find(0, layers, "x", cross, holders)
		least := cheapest(0, layers, -1, "x", cross, holders)
		if ok == math.IsInf(least, 1) {
			t.Fatalf("path found: %v, least price %v", ok, least)
		}
		if ok && math.Abs(price(path, "x", cross, holders)-least) > 1e-9 {
			t.Fatalf("%v costs %v, the least is %v", path, price(path, "x", cross, holders), least)
		}
	})
}

// Guards against: a path begins at a server that may not get the request.
func TestAPathBeginsWhereItMay(t *testing.T) {
	g := NewWithT(t)
	limited := holder("a", 0, 40, 1)
	limited.NotFirst = true
	path, ok := chain.Find(0, 40, "", 1, []chain.Holder{limited, holder("b", 0, 10, 5)})
	g.Expect(ok).To(BeTrue())
	g.Expect(path).To(Equal(chain.Path{
		{ID: "b", Address: "b:1", Layers: api.Layers{From: 0, To: 10}},
		{ID: "a", Address: "a:1", Layers: api.Layers{From: 10, To: 40}},
	}))
	_, ok = chain.Find(0, 40, "", 1, []chain.Holder{limited})
	g.Expect(ok).To(BeFalse())
}
