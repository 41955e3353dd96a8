package spread

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// reassignAllPairs is reassign by going through all pairs and looking up their servers by name.
func reassignAllPairs(servers []Server, orders []Order) []Order {
	matched := slices.Clone(orders)
	slices.SortStableFunc(matched, func(a, b Order) int { return cmp.Compare(a.Layers.From, b.Layers.From) })
	byID := make(map[string]Server)
	for _, s := range servers {
		byID[s.ID] = s
	}
	for improved := true; improved; {
		improved = false
		for i := range matched {
			for j := i + 1; j < len(matched); j++ {
				a, b := byID[matched[i].Server], byID[matched[j].Server]
				if a.Card == b.Card && swapGain(a.planned(), b.planned(), matched[i].Layers, matched[j].Layers) > 0 {
					matched[i].Server, matched[j].Server = b.ID, a.ID
					improved = true
				}
			}
		}
	}
	return matched
}

func drawLayers(t *rapid.T) api.Layers {
	from := rapid.IntRange(0, 9).Draw(t, "from")
	return api.Layers{From: from, To: from + rapid.IntRange(1, 5).Draw(t, "count")}
}

// Guards against a layout with more layers to load, or ranges on servers of another card, than
// trying all pairs gives.
func TestReassignMatchesTryingAllPairs(t *testing.T) {
	cards := []routes.Card{{MB: 1}, {MB: 2}, {MB: 3}}
	rapid.Check(t, func(t *rapid.T) {
		var servers []Server
		var orders []Order
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			s := Server{ID: fmt.Sprint("s", i), Card: rapid.SampledFrom(cards).Draw(t, "card")}
			if rapid.Bool().Draw(t, "holds") {
				s.Held = drawLayers(t)
			}
			if rapid.Bool().Draw(t, "loads") {
				s.Loading, s.Target = true, drawLayers(t)
			}
			servers = append(servers, s)
			if rapid.Bool().Draw(t, "ordered") {
				orders = append(orders, Order{Server: s.ID, Layers: drawLayers(t)})
			}
		}
		NewWithT(t).Expect(reassign(servers, orders)).To(Equal(reassignAllPairs(servers, orders)))
	})
}
