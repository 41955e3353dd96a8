package spread_test

import (
	"fmt"
	"testing"

	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/spread"
)

// mixed is a data centre of unlike servers: one fast, three middle, four slow of
// each eight.
func mixed(n int) []spread.Server {
	kinds := []routes.Card{big, middle, middle, middle, small, small, small, small}
	var cards []routes.Card
	for i := range n {
		cards = append(cards, kinds[i%len(kinds)])
	}
	return fleet(cards...)
}

// BenchmarkPlan is one look of the VM that orders layers, of 200 ms each, at a
// layout in place from which one server was lost.
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
