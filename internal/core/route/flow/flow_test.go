package flow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/route/flow"
)

// Flow pushed along the first path found must be cancelled in part to reach the
// maximum.
func TestMaxCancelsFlow(t *testing.T) {
	g := NewWithT(t)
	n := flow.New(4)
	n.AddArc(0, 1, 1)
	n.AddArc(0, 2, 1)
	middle := n.AddArc(1, 2, 1)
	n.AddArc(1, 3, 1)
	n.AddArc(2, 3, 1)
	g.Expect(n.Max(0, 3)).To(BeNumerically("~", 2, 1e-9))
	g.Expect(n.Flow(middle)).To(BeNumerically("~", 0, 1e-9))
}

// On random networks the value of the flow is the capacity of the minimum cut,
// and every inner node has as much inflow as outflow.
func TestMaxEqualsMinimumCut(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 0))
		nodes := 4 + random.IntN(12)
		n := flow.New(nodes)
		type ends struct{ from, to, arc int }
		var arcs []ends
		capacities := map[int]float64{}
		for range nodes * 3 {
			from, to := random.IntN(nodes), random.IntN(nodes)
			if from == to {
				continue
			}
			capacity := 100 * random.Float64()
			arc := n.AddArc(from, to, capacity)
			arcs = append(arcs, ends{from, to, arc})
			capacities[arc] = capacity
		}
		value := n.Max(0, nodes-1)
		cut := 0.0
		balance := make([]float64, nodes)
		for _, a := range arcs {
			g.Expect(n.Flow(a.arc)).To(And(BeNumerically(">=", -1e-6), BeNumerically("<=", capacities[a.arc]+1e-6)))
			balance[a.from] -= n.Flow(a.arc)
			balance[a.to] += n.Flow(a.arc)
			if n.Reachable(a.from) && !n.Reachable(a.to) {
				cut += capacities[a.arc]
			}
		}
		g.Expect(value).To(BeNumerically("~", cut, 1e-4), "seed %d", seed)
		for node := 1; node < nodes-1; node++ {
			g.Expect(balance[node]).To(BeNumerically("~", 0, 1e-6), "seed %d node %d", seed, node)
		}
	}
}

// BenchmarkMax measures one maximum flow over 4 cuts in 3 data centres with one
// arc per server, the cost that grouping servers into classes saves.
func BenchmarkMax(b *testing.B) {
	for _, servers := range []int{30, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			const cuts, dataCentres = 5, 3
			random := rand.New(rand.NewPCG(1, 1))
			n := flow.New(cuts*dataCentres + 2)
			for dc := range dataCentres {
				n.AddArc(cuts*dataCentres, dc, flow.Unlimited)
				n.AddArc((cuts-1)*dataCentres+dc, cuts*dataCentres+1, flow.Unlimited)
				for cut := 1; cut < cuts-1; cut++ {
					n.AddArc(cut*dataCentres+dc, cut*dataCentres+(dc+1)%dataCentres, flow.Unlimited)
				}
			}
			for range servers {
				from := random.IntN(cuts - 1)
				dc := random.IntN(dataCentres)
				n.AddArc(from*dataCentres+dc, (from+1)*dataCentres+dc, 50+200*random.Float64())
			}
			for b.Loop() {
				n.Max(cuts*dataCentres, cuts*dataCentres+1)
			}
		})
	}
}
