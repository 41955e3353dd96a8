package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

const (
	// boundCheckInterval is how often the pipelines' throughput bounds are recomputed.
	boundCheckInterval = time.Second
	// minBoundChange is the relative change of a bound above which it is reported again.
	minBoundChange = 0.01
)

// holding is the model, version and layers that a backend server reported as loaded.
type holding struct {
	model   string
	version string
	layers  api.Layers
}

// routingState is the state that the machine keeps for the router.
type routingState struct {
	// holdings has the last report of each server. It overrides the server's
	// record: the record says what the server should hold, but a path needs what
	// it actually holds.
	holdings        map[string]holding
	bounds          map[string]PipelineBound
	boundsCheckedAt Time
	// servingVersions caches servingVersion by model. It is cleared when a server changes.
	servingVersions map[string]string
}

func newRoutingState() routingState {
	return routingState{holdings: make(map[string]holding), bounds: make(map[string]PipelineBound), servingVersions: make(map[string]string)}
}

// observeRouting updates the router's loads, caches and links from an event. It
// runs before the event is handled, so that path selection already uses them.
func (m *Machine) observeRouting(now Time, event Event) []Action {
	m.router.Advance(now)
	switch e := event.(type) {
	case ServerObserved:
		m.routingServerObserved(now, e)
	case CacheObserved:
		m.router.ObserveCache(e.Server, e.Incarnation, e.Events)
	case LinkObserved:
		m.router.SetLink(route.Link{From: e.From, To: e.To, Delay: e.Delay, TokensPerSecond: e.TokensPerSecond, Down: e.Lost})
	case AttemptEnded:
		m.router.RecordProgress(string(e.Request), now, e.Tokens)
	}
	if now-m.routing.boundsCheckedAt < boundCheckInterval {
		return nil
	}
	m.routing.boundsCheckedAt = now
	return m.changedBounds()
}

func (m *Machine) routingServerObserved(now Time, e ServerObserved) {
	if !e.LoadUnknown {
		m.router.ObserveLoad(now, route.Report{Server: e.Server, At: now - e.Age, Running: e.Running, Waiting: e.Waiting})
	}
	held := holding{e.Model, e.Version, e.Layers}
	if e.Model == "" || m.routing.holdings[e.Server] == held {
		return
	}
	m.routing.holdings[e.Server] = held
	clear(m.routing.servingVersions)
	if record, ok := m.backendServer(e.Server); ok {
		m.router.SetServer(m.routeServer(record))
	}
}

// backendServer returns the named backend server of the configuration in force.
func (m *Machine) backendServer(name string) (config.Server, bool) {
	spec, ok := m.config.Backend(name)
	if !ok {
		return config.Server{}, false
	}
	version := spec.ModelVersion
	if version == "" {
		version = m.config.Models[spec.Model].Version
	}
	return config.Server{Name: name, BackendServerSpec: spec, Version: version}, true
}

// setServers passes the backend servers of the configuration in force to the router.
func (m *Machine) setServers() {
	clear(m.routing.servingVersions)
	records := m.config.Servers()
	servers := make([]route.Server, 0, len(records))
	known := make(map[string]holding, len(records))
	for _, record := range records {
		servers = append(servers, m.routeServer(record))
		if held, ok := m.routing.holdings[record.Name]; ok {
			known[record.Name] = held
		}
	}
	m.routing.holdings = known
	m.router.SetServers(servers)
}

// routeServer combines a backend server's record, its health and its own last
// report into the form that the router uses.
func (m *Machine) routeServer(record config.Server) route.Server {
	server := route.Server{
		Name:            record.Name,
		Address:         record.Address,
		DataCentre:      record.DataCentre,
		Model:           record.Model,
		Version:         record.Version,
		Layers:          record.Layers,
		Service:         record.Service,
		TokensPerSecond: record.TokensPerSecond,
	}
	server.Eligible, server.Incarnation = m.eligible(record)
	if held, ok := m.routing.holdings[record.Name]; ok && record.Model != "" {
		server.Model, server.Version, server.Layers = held.model, held.version, held.layers
	}
	return server
}

// Bounds returns the throughput bound of every pipeline, sorted by name.
func (m *Machine) Bounds() []PipelineBound {
	bounds := make([]PipelineBound, 0, len(m.config.Pipelines))
	for _, name := range slices.Sorted(maps.Keys(m.config.Pipelines)) {
		model := m.config.Pipelines[name].Model
		spec := m.config.Models[model]
		bound := m.router.Bound(model, spec.Version, spec.Layers)
		bounds = append(bounds, PipelineBound{
			Pipeline:        name,
			TokensPerSecond: bound.TokensPerSecond,
			Servers:         bound.Servers,
			Missing:         bound.Missing,
			SingleCopy:      bound.SingleCopy,
			Bottleneck:      bound.Bottleneck,
			Disconnected:    bound.Disconnected,
		})
	}
	return bounds
}

// changedBounds returns the bounds that changed since they were last reported.
func (m *Machine) changedBounds() []Action {
	var actions []Action
	reported := make(map[string]PipelineBound, len(m.routing.bounds))
	for _, bound := range m.Bounds() {
		before, ok := m.routing.bounds[bound.Pipeline]
		if ok && boundUnchanged(before, bound) {
			reported[bound.Pipeline] = before
			continue
		}
		reported[bound.Pipeline] = bound
		actions = append(actions, bound)
	}
	for _, pipeline := range slices.Sorted(maps.Keys(m.routing.bounds)) {
		if _, ok := reported[pipeline]; !ok {
			actions = append(actions, PipelineBound{Pipeline: pipeline, Removed: true})
		}
	}
	m.routing.bounds = reported
	return actions
}

func boundUnchanged(a, b PipelineBound) bool {
	near := math.Abs(a.TokensPerSecond-b.TokensPerSecond) <= minBoundChange*a.TokensPerSecond
	return near && a.Servers == b.Servers && a.Disconnected == b.Disconnected &&
		slices.Equal(a.Missing, b.Missing) && slices.Equal(a.SingleCopy, b.SingleCopy) && slices.Equal(a.Bottleneck, b.Bottleneck)
}
