package place

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
)

// newThreeServerSimulation has two copies of the first half of the layers and
// one of the second half.
func newThreeServerSimulation() *simulation {
	sim := newSimulation(scorerModels("v1"), engineConfig(1, 0, 12), engineConfig(2, 0, 12), engineConfig(3, 12, 24))
	sim.planner.SetLease(1, 0, time.Hour)
	return sim
}

func (sim *simulation) steps(n int) {
	for range n {
		sim.step()
	}
}

// Guards against refusing every request with no_path after the only server with
// layers [12,24) crashed: another server must load them, and it must not be one
// that has a last copy itself.
func TestLostLastCopyMovesToSubstituteUntilRecovery(t *testing.T) {
	g := NewWithT(t)
	sim := newThreeServerSimulation()
	sim.steps(3)
	g.Expect(sim.orders).To(BeEmpty())
	sim.crash("bornova-3")
	sim.steps(4)
	g.Expect(sim.orders).To(HaveLen(1))
	g.Expect(sim.orders[0].Server).To(Equal("bornova-1"))
	g.Expect(sim.orders[0].Placement.Layers).To(Equal(api.Layers{From: 12, To: 24}))
	g.Expect(sim.status.Uncovered).To(ConsistOf(Gap{
		Model: "scorer", Version: "v1", Layers: api.Layers{From: 12, To: 24}, Substitute: "bornova-1",
	}))
	g.Expect(sim.status.Changes).To(HaveLen(1))
	g.Expect(sim.status.Changes[0].Replaces).To(Equal("bornova-3"))
	g.Expect(sim.status.Changes[0].ExpectedDuration).To(Equal(12 * time.Second))
	sim.steps(12)
	g.Expect(sim.hasWholeVersion("scorer", "")).To(BeTrue())
	g.Expect(sim.status.Uncovered).To(BeEmpty())

	sim.restart("bornova-3")
	sim.steps(60)
	g.Expect(sim.engines["bornova-1"].current.Layers).To(Equal(api.Layers{From: 0, To: 12}))
	g.Expect(sim.orders).To(HaveLen(2))
	g.Expect(sim.planner.layerTimes["fast"]).To(BeNumerically("<", time.Second), "12 layers took 10 s")
}

// Guards against a server with the wrong layers after it acknowledged the right
// order: a previous lease holder's order arrives late, after the new holder's.
// The server ignores fencing numbers, so only waiting keeps the orders apart.
func TestNewLeaseHolderWaitsForLateOrdersWithoutFencing(t *testing.T) {
	g := NewWithT(t)
	ignoring := engineConfig(1, 0, 12)
	ignoring.ChecksFencing = false
	sim := newSimulation(scorerModels("v1"), ignoring, engineConfig(2, 0, 12), engineConfig(3, 0, 24), engineConfig(4, 0, 24))
	for _, name := range []string{"bornova-1", "bornova-2"} {
		sim.engines[name].current = Placement{Model: "scorer", Version: "v0", Layers: api.Layers{From: 0, To: 12}}
	}
	sim.steps(2)
	sim.planner.SetLease(7, sim.now, time.Hour)
	leaseStart := sim.now
	sim.step()
	g.Expect(sim.orders).To(HaveLen(1), "the server that checks fencing numbers gets its order at once")
	g.Expect(sim.orders[0].Server).To(Equal("bornova-2"))

	late := Order{ID: "late", Server: "bornova-1", Fence: 6, Kind: OrderLoad, Placement: Placement{Model: "scorer", Version: "v1", Layers: api.Layers{From: 12, To: 24}}}
	sim.steps(2)
	g.Expect(sim.apply(late)).To(Equal(Accepted), "the server ignores the outdated fencing number")
	for range 60 {
		sim.step()
		for _, order := range sim.orders {
			g.Expect(order.Server != "bornova-1" || sim.now > leaseStart+sim.planner.options.OrderTimeout).To(BeTrue())
		}
	}
	g.Expect(sim.engines["bornova-1"].current.Layers).To(Equal(api.Layers{From: 0, To: 12}))
	g.Expect(sim.engines["bornova-1"].overlappingOrders).To(BeZero(), "the late order was noticed before the next order was sent")
}

// Guards against sending an order twice, or never, after its response was lost.
// Either the order took effect or it was lost itself; only reading the server
// shows which.
func TestLostOrderResponseIsResolvedByReading(t *testing.T) {
	for name, arrives := range map[string]bool{"response lost": true, "order lost": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newThreeServerSimulation()
			sim.engines["bornova-1"].current.Version = "v0"
			first := true
			sim.orderFate = func(Order) (bool, bool) {
				if first {
					first = false
					return arrives, false
				}
				return true, true
			}
			sim.steps(30)
			g.Expect(sim.engines["bornova-1"].current.Version).To(Equal("v1"))
			for _, order := range sim.orders {
				g.Expect(order.ID).To(Equal(sim.orders[0].ID), "resent with the same ID")
			}
			g.Expect(sim.engines["bornova-1"].overlappingOrders).To(BeZero())
		})
	}
}

// Guards against orders from a VM whose lease expired while it was paused: the
// end of the lease and the refusal of an outdated fencing number must both stop
// it.
func TestNoOrdersWithoutLease(t *testing.T) {
	g := NewWithT(t)
	sim := newThreeServerSimulation()
	sim.planner.ClearLease()
	sim.planner.SetLease(2, 0, 2*time.Second)
	sim.steps(5)
	sim.engines["bornova-1"].current.Version = "v0"
	sim.steps(5)
	g.Expect(sim.orders).To(BeEmpty())
	g.Expect(sim.status.Changes[0].Reason).To(Equal(string(blockerNoRole)))

	sim.engines["bornova-1"].fence = 9
	sim.planner.SetLease(3, sim.now, time.Hour)
	sim.steps(5)
	g.Expect(sim.orders).To(HaveLen(1), "the refusal of its outdated fencing number ends the lease")
	g.Expect(sim.status.Holder).To(BeFalse())
}

// Guards against overloading the weight store, which slows down every repair,
// when many servers need a load at the same time.
func TestConcurrentLoadsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var configs []ServerConfig
	for i := range 8 {
		configs = append(configs, engineConfig(i+1, 0, 24))
	}
	sim := newSimulation(scorerModels("v1"), configs...)
	sim.planner.SetLease(1, 0, time.Hour)
	for _, name := range sim.names()[:6] {
		sim.engines[name].current.Version = "v0"
	}
	most := 0
	sim.beforeOrder = func(Order) {
		loading := 1
		for _, e := range sim.engines {
			if e.loadTarget != nil {
				loading++
			}
		}
		most = max(most, loading)
	}
	sim.steps(100)
	g.Expect(most).To(Equal(sim.planner.options.MaxLoads))
	g.Expect(sim.orders).To(HaveLen(6))
	g.Expect(sim.status.Changes).To(BeEmpty())
}

// Guards against refused requests during a version change: with one or two
// copies of each layer, the last copy must not be drained before the new version
// is complete.
func TestVersionChangeKeepsOneCompleteVersion(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(scorerModels("v1"), engineConfig(1, 0, 12), engineConfig(2, 0, 12), engineConfig(3, 12, 24), engineConfig(4, 12, 24))
	sim.planner.SetLease(1, 0, time.Hour)
	sim.steps(2)
	sim.changeVersion("v2")
	for range 80 {
		sim.step()
		g.Expect(sim.hasWholeVersion("scorer", "")).To(BeTrue())
	}
	for _, e := range sim.engines {
		g.Expect(e.current.Version).To(Equal("v2"))
	}

	single := newSimulation(scorerModels("v1"), engineConfig(1, 0, 12), engineConfig(2, 12, 24))
	single.planner.SetLease(1, 0, time.Hour)
	single.steps(2)
	single.changeVersion("v2")
	single.steps(30)
	g.Expect(single.orders).To(BeEmpty(), "no version change is possible without a gap")
	g.Expect(single.status.Changes[0].Reason).To(Equal(string(blockerLastCopy)))
}

func (sim *simulation) changeVersion(version string) {
	sim.models = scorerModels(version)
	for _, e := range sim.engines {
		e.config.Desired.Version = version
	}
	sim.configure()
}

// Guards against ignoring changes of adapters or roles because only weights are
// compared, and against a change that takes the last copy out of service.
func TestAdaptersAndRolesAreOrderedSeparately(t *testing.T) {
	g := NewWithT(t)
	sim := newThreeServerSimulation()
	for _, name := range []string{"bornova-1", "bornova-3"} {
		sim.engines[name].config.Desired.Adapters = []string{"kademe", "panel"}
		sim.engines[name].config.Desired.Role = "decode"
		sim.engines[name].current.Role = "both"
	}
	sim.configure()
	sim.steps(10)
	g.Expect(sim.engines["bornova-1"].current.Adapters).To(Equal([]string{"kademe", "panel"}))
	g.Expect(sim.engines["bornova-1"].current.Role).To(Equal("decode"))
	g.Expect(sim.engines["bornova-3"].current.Role).To(Equal("both"), "it has the last copy")
}

// Checks under crashes, restarts, lost responses and version changes that no
// order gives up the last complete version, that a server gets no order while it
// executes one, and that after the faults end every server has its configured
// placement or the status says why not.
func TestPlacementProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := drawSimulation(r)
		sim.orderFate = func(Order) (bool, bool) {
			return rapid.IntRange(0, 4).Draw(r, "arrives") > 0, rapid.Bool().Draw(r, "answered")
		}
		sim.beforeOrder = func(order Order) {
			if order.Kind == OrderLoad && sim.engines[order.Server].loadTarget == nil && sim.hasWholeVersion("scorer", "") && !sim.hasWholeVersion("scorer", order.Server) {
				r.Fatalf("order %+v takes the last complete version out of service", order)
			}
		}
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			sim.injectFault(r)
			sim.step()
		}
		sim.orderFate = nil
		for _, name := range sim.names() {
			if !sim.engines[name].up {
				sim.restart(name)
			}
		}
		sim.steps(40 * len(sim.engines))
		for _, name := range sim.names() {
			sim.checkConverged(r, name)
		}
	})
}

// checkConverged checks one server after all faults have ended.
func (sim *simulation) checkConverged(r *rapid.T, name string) {
	e := sim.engines[name]
	if e.overlappingOrders > 0 {
		r.Fatalf("%s got an order while it was executing one", name)
	}
	if !e.current.sameWeights(e.config.Desired) && !sim.statusExplains(name) {
		r.Fatalf("%s has %v instead of %v, and the status does not say why: %+v", name, e.current, e.config.Desired, sim.status)
	}
}

func drawSimulation(r *rapid.T) *simulation {
	var configs []ServerConfig
	for i := range rapid.IntRange(2, 7).Draw(r, "servers") {
		shape := rapid.SampledFrom([][2]int{{0, 12}, {12, 24}, {12, 18}, {18, 24}, {0, 24}}).Draw(r, "layers")
		config := engineConfig(i+1, shape[0], shape[1])
		config.ChecksFencing = rapid.Bool().Draw(r, "checks")
		configs = append(configs, config)
	}
	sim := newSimulation(scorerModels("v1"), configs...)
	sim.loadTime = time.Duration(rapid.IntRange(1, 20).Draw(r, "load")) * time.Second
	sim.planner.SetLease(1, 0, time.Hour)
	return sim
}

func (sim *simulation) injectFault(r *rapid.T) {
	name := rapid.SampledFrom(sim.names()).Draw(r, "server")
	e := sim.engines[name]
	switch rapid.IntRange(0, 9).Draw(r, "fault") {
	case 0:
		sim.crash(name)
	case 1, 2:
		if !e.up {
			sim.restart(name)
		}
	case 3:
		sim.changeVersion(rapid.SampledFrom([]string{"v1", "v2"}).Draw(r, "version"))
	case 4:
		sim.planner.SetLease(sim.planner.lastFence()+1, sim.now, time.Hour)
	}
}

func (p *Planner) lastFence() uint64 {
	if p.lease == nil {
		return 0
	}
	return p.lease.fence
}

func (sim *simulation) statusExplains(name string) bool {
	for _, change := range sim.status.Changes {
		if change.Server == name && (change.Reason == string(blockerLastCopy) || change.Replaces != "") {
			return true
		}
	}
	return false
}
