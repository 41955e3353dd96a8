package spread_test

import (
	"fmt"
	"testing"

	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/spread"
)

// mixed returns n servers of which, in each group of eight, one is fast, three are medium and
// four are slow.
func mixed(n int) []spread.Server {
	kinds := []routes.Card{big, middle, middle, middle, small, small, small, small}
	var cards []routes.Card
	for i := range n {
		cards = append(cards, kinds[i%len(kinds)])
	}
	return fleet(cards...)
}

// BenchmarkPlan measures one planning round, run every 200 ms, on an existing layout that has
// lost one server.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{33, 86, 770} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := mixed(n)
			apply(b, model(), servers, spread.Layout(model(), servers))
			servers = servers[1:]
			for b.Loop() {
				spread.Plan(model(), servers)
			}
		})
	}
}
