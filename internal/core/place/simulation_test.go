package place

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// fakeEngine is a model engine that executes orders.
type fakeEngine struct {
	config            ServerConfig
	current           Placement
	up                bool
	incarnation       uint64
	fence             uint64
	accepted          map[string]bool
	loadTarget        *Placement
	loadEndsAt        time.Duration
	overlappingOrders int
}

// simulation is the servers of one data centre and one planner. Reports and
// responses arrive at once; a step takes one second.
type simulation struct {
	now     time.Duration
	planner *Planner
	engines map[string]*fakeEngine
	models  map[string]Model
	// loadTime is the duration of a load, whatever its size.
	loadTime time.Duration
	// orderFate decides whether an order arrives and whether its response does.
	// If nil, both do.
	orderFate func(Order) (arrives, answered bool)
	// beforeOrder is called before an order is executed.
	beforeOrder func(Order)
	orders      []Order
	status      Status
}

func newSimulation(models map[string]Model, configs ...ServerConfig) *simulation {
	sim := &simulation{
		planner:  New(DefaultOptions("bornova")),
		engines:  make(map[string]*fakeEngine),
		models:   models,
		loadTime: 10 * time.Second,
	}
	for _, config := range configs {
		sim.engines[config.Name] = &fakeEngine{config: config, current: config.Desired, up: true, incarnation: 1, accepted: map[string]bool{}}
	}
	sim.configure()
	return sim
}

func (sim *simulation) names() []string { return slices.Sorted(maps.Keys(sim.engines)) }

func (sim *simulation) configure() {
	var configs []ServerConfig
	for _, name := range sim.names() {
		configs = append(configs, sim.engines[name].config)
	}
	sim.planner.Configure(sim.now, sim.models, configs)
}

// step advances the clock by a second.
func (sim *simulation) step() {
	sim.now += time.Second
	for _, name := range sim.names() {
		e := sim.engines[name]
		if e.loadTarget != nil && sim.now >= e.loadEndsAt {
			e.current.Model, e.current.Version, e.current.Layers = e.loadTarget.Model, e.loadTarget.Version, e.loadTarget.Layers
			e.loadTarget = nil
		}
		sim.planner.SetAvailable(sim.now, name, e.up)
		if e.up {
			sim.planner.Observe(Report{Server: name, Incarnation: e.incarnation, Current: e.current, At: sim.now})
		}
	}
	sim.plan()
}

// plan executes decisions until there are none.
func (sim *simulation) plan() {
	for rounds := 0; ; rounds++ {
		d := sim.planner.Plan(sim.now)
		if rounds > 100 {
			panic(fmt.Sprintf("planner does not converge at %v: %+v", sim.now, d))
		}
		if d.Status != nil {
			sim.status = *d.Status
		}
		for _, name := range d.Reads {
			sim.read(name)
		}
		for _, order := range d.Orders {
			sim.send(order)
		}
		if len(d.Reads)+len(d.Orders) == 0 {
			return
		}
	}
}

func (sim *simulation) read(name string) {
	e := sim.engines[name]
	if e.up {
		sim.planner.Observe(Report{
			Server: name, Incarnation: e.incarnation, Current: e.current,
			Loading: e.loadTarget != nil, Direct: true, At: sim.now,
		})
	}
}

func (sim *simulation) send(order Order) {
	sim.orders = append(sim.orders, order)
	arrives, answered := true, true
	if sim.orderFate != nil {
		arrives, answered = sim.orderFate(order)
	}
	if sim.beforeOrder != nil {
		sim.beforeOrder(order)
	}
	result := Unknown
	if arrives {
		result = sim.apply(order)
	}
	if !answered {
		result = Unknown
	}
	sim.planner.HandleResult(sim.now, order.ID, result)
}

// apply executes an order as an engine does.
func (sim *simulation) apply(order Order) Result {
	e := sim.engines[order.Server]
	switch {
	case !e.up:
		return Unknown
	case e.accepted[order.ID]:
		return Accepted
	case order.Fence < e.fence && e.config.ChecksFencing:
		return StaleFence
	case e.loadTarget != nil:
		e.overlappingOrders++
		return Refused
	}
	e.accepted[order.ID] = true
	e.fence = max(e.fence, order.Fence)
	switch order.Kind {
	case OrderLoad:
		e.loadTarget, e.loadEndsAt = &order.Placement, sim.now+sim.loadTime
	case OrderRole:
		e.current.Role = order.Placement.Role
	case OrderAdapter:
		e.current.Adapters = append(slices.Clone(e.current.Adapters), order.Placement.Adapters...)
	}
	return Accepted
}

func (sim *simulation) crash(name string) {
	e := sim.engines[name]
	e.up, e.loadTarget = false, nil
}

func (sim *simulation) restart(name string) {
	e := sim.engines[name]
	e.up = true
	e.incarnation++
	e.accepted = map[string]bool{}
	e.fence = 0
}

// hasWholeVersion reports whether some version of the model has a copy of each
// layer, without counting the server except.
func (sim *simulation) hasWholeVersion(model string, except string) bool {
	versions := map[string]bool{}
	for _, e := range sim.engines {
		versions[e.current.Version] = true
	}
	for version := range versions {
		var placements []Placement
		for name, e := range sim.engines {
			if name != except && e.up && e.loadTarget == nil && !e.config.Leaving {
				placements = append(placements, e.current)
			}
		}
		if covers(placements, model, version, api.Layers{From: 0, To: sim.models[model].Layers}) {
			return true
		}
	}
	return false
}

func engineConfig(i int, from, to int) ServerConfig {
	return ServerConfig{
		Name:          fmt.Sprintf("bornova-%d", i),
		Accelerator:   "fast",
		ChecksFencing: true,
		Desired:       Placement{Model: "scorer", Version: "v1", Layers: api.Layers{From: from, To: to}},
	}
}

func scorerModels(version string) map[string]Model {
	return map[string]Model{"scorer": {Layers: 24, Version: version}}
}
