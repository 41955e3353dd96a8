package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

// flowProblem is a maximum flow problem for the simplex algorithm. Its nodes are
// pairs of a cut and a data centre.
type flowProblem struct{ from, to, capacity []float64 }

func (m *flowProblem) add(from, to int, capacity float64) {
	m.from = append(m.from, float64(from))
	m.to = append(m.to, float64(to))
	m.capacity = append(m.capacity, capacity)
}

// simplexBound computes the maximum flow by a linear program with one variable for
// each arc, one for its slack, and one for the flow's value.
func simplexBound(servers []route.Server, links []route.Link) (float64, error) {
	const unlimited = 1e6
	cuts := []int{0, layers}
	var dataCentres []string
	for _, s := range servers {
		cuts = append(cuts, s.Layers.From, s.Layers.To)
		dataCentres = append(dataCentres, s.DataCentre)
	}
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	slices.Sort(dataCentres)
	dataCentres = slices.Compact(dataCentres)
	node := func(layer int, dc string) int {
		return slices.Index(cuts, layer)*len(dataCentres) + slices.Index(dataCentres, dc)
	}
	nodes := len(cuts) * len(dataCentres)
	source, sink := nodes, nodes+1
	m := &flowProblem{}
	for _, s := range servers {
		m.add(node(s.Layers.From, s.DataCentre), node(s.Layers.To, s.DataCentre), s.TokensPerSecond)
	}
	for _, dc := range dataCentres {
		m.add(source, node(0, dc), unlimited)
		m.add(node(layers, dc), sink, unlimited)
		for _, cut := range cuts[1 : len(cuts)-1] {
			m.add(node(cut, dc), node(cut, dc)-len(dataCentres), unlimited)
			for _, l := range links {
				if l.From == dc && slices.Contains(dataCentres, l.To) {
					m.add(node(cut, dc), node(cut, l.To), unlimited)
				}
			}
		}
	}
	return m.solve(nodes, source)
}

func (m *flowProblem) solve(nodes, source int) (float64, error) {
	arcs := len(m.from)
	variables := 2*arcs + 1
	a := mat.NewDense(nodes+1+arcs, variables, nil)
	b := make([]float64, nodes+1+arcs)
	for i := range arcs {
		// The balance of the sink follows from the others.
		for node, sign := range map[int]float64{int(m.from[i]): -1, int(m.to[i]): 1} {
			if node <= source {
				a.Set(node, i, a.At(node, i)+sign)
			}
		}
		a.Set(nodes+1+i, i, 1)
		a.Set(nodes+1+i, arcs+i, 1)
		b[nodes+1+i] = m.capacity[i]
	}
	a.Set(source, 2*arcs, 1)
	c := make([]float64, variables)
	c[2*arcs] = -1
	value, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	return -value, err
}

func allLinks() []route.Link {
	var links []route.Link
	for _, from := range dataCentres {
		for _, to := range dataCentres {
			if from != to {
				links = append(links, route.Link{From: from, To: to})
			}
		}
	}
	return links
}

// For random servers the bound must equal the result of a linear program.
func TestBoundMatchesSimplex(t *testing.T) {
	solved := 0
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 3))
		var servers []route.Server
		for i := range 2 + random.IntN(11) {
			from := random.IntN(4)
			to := from + 1 + random.IntN(4-from)
			s := engineServer(fmt.Sprint("s", i), from*6, to*6)
			s.DataCentre = dataCentres[random.IntN(len(dataCentres))]
			s.TokensPerSecond = float64(1 + random.IntN(100))
			servers = append(servers, s)
		}
		want, err := simplexBound(servers, allLinks())
		if err != nil {
			// The simplex algorithm finds no basis if a cut can't be reached.
			continue
		}
		got := newRouter(servers...).Bound("scorer", "1", layers).TokensPerSecond
		NewWithT(t).Expect(got).To(BeNumerically("~", want, 1e-6*(1+want)), "seed %d", seed)
		if want > 0 {
			solved++
		}
	}
	NewWithT(t).Expect(solved).To(BeNumerically(">", 100))
}

// randomServers returns servers of one model with ranges of 6, 12 and 24 layers.
func randomServers(count int) []route.Server {
	random := rand.New(rand.NewPCG(uint64(count), 1))
	servers := make([]route.Server, 0, count)
	for i := range count {
		length := []int{6, 12, 12, 24}[random.IntN(4)]
		from := random.IntN(layers/length) * length
		s := engineServer(fmt.Sprintf("s%04d", i), from, from+length)
		s.DataCentre = dataCentres[random.IntN(len(dataCentres))]
		s.TokensPerSecond = 50 + 200*random.Float64()
		servers = append(servers, s)
	}
	return servers
}

var fleetSizes = []int{30, 100, 200, 400, 800}

// BenchmarkChoose measures one choice: sampling, counting as load, and release of
// the previous path.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range route.Policies() {
		for _, count := range fleetSizes {
			b.Run(fmt.Sprintf("%s/%d", policy, count), func(b *testing.B) {
				router := route.New(route.Options{Policy: policy, DataCentre: dataCentres[0], Seed: 1})
				router.SetServers(randomServers(count))
				r := newRequest("r")
				b.ReportAllocs()
				for b.Loop() {
					if _, err := router.Choose(r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkReroute measures the replacement of one stage of a path.
func BenchmarkReroute(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := newRouter(randomServers(count)...)
			old, err := router.Choose(newRequest("r"))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := router.Reroute(newRequest("r"), old, []string{old[0].Server}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRecompute measures the update for one server's loss, including the flow.
func BenchmarkRecompute(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := randomServers(count)
			router := newRouter(servers...)
			router.Bound("scorer", "1", layers)
			for i := 0; b.Loop(); i++ {
				s := servers[0]
				s.Eligible = i%2 == 1
				// The server's own range makes its class appear or vanish each time.
				s.Layers = api.Layers{From: 1, To: 7}
				router.SetServer(s)
				router.Bound("scorer", "1", layers)
			}
		})
	}
}

// BenchmarkSimplex measures the computation of the same bound by a linear program.
func BenchmarkSimplex(b *testing.B) {
	for _, count := range []int{10, 30, 100, 200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := randomServers(count)
			for b.Loop() {
				if _, err := simplexBound(servers, allLinks()); err != nil {
					b.Skip(err)
				}
			}
		})
	}
}
