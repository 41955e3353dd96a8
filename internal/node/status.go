package node

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

// boundChange is the part by which a bound must move to be shown anew.
const boundChange = 0.05

// statusView is the core's view of backend servers and pipelines, for Status
// records. It is filled by the core's actions. Safe for concurrent use.
type statusView struct {
	mu      sync.Mutex
	set     *config.Set
	servers map[string]api.BackendServerStatus
	bounds  map[string]core.PipelineBound
	// shown are the figures that were last given for a Status record.
	shown map[string]figures
	// held gives the tokens per second of each pipeline over all VMs.
	held func() map[string]float64
	// now is the core's time, to tell when a state began by the clock on the wall.
	now func() core.Time
}

// figures are the tokens per second of a pipeline: at most, and lately.
type figures struct{ bound, held float64 }

func newStatusView(now func() core.Time, held func() map[string]float64) *statusView {
	return &statusView{
		set:     config.Empty(),
		servers: make(map[string]api.BackendServerStatus),
		bounds:  make(map[string]core.PipelineBound),
		shown:   make(map[string]figures),
		held:    held,
		now:     now,
	}
}

// take keeps what the core says of a backend server or a pipeline.
func (v *statusView) take(action core.Action) {
	switch a := action.(type) {
	case core.ServerChanged:
		v.takeServer(a.Status)
	case core.PipelineBound:
		v.takeBound(a)
	}
}

func (v *statusView) takeBound(bound core.PipelineBound) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if bound.Removed {
		delete(v.bounds, bound.Pipeline)
		return
	}
	v.bounds[bound.Pipeline] = bound
}

func (v *statusView) takeServer(status fleet.Status) {
	evidence := make([]string, 0, len(status.Evidence))
	for _, e := range status.Evidence {
		evidence = append(evidence, describeEvidence(e))
	}
	began := time.Now().Add(status.Since - v.now())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.servers[status.Server] = api.BackendServerStatus{
		BackendServer: status.Server,
		State:         string(status.State),
		Since:         began.UTC().Format(time.RFC3339),
		Evidence:      evidence,
	}
}

func describeEvidence(e fleet.Evidence) string {
	if e.Witness == "" {
		return string(e.Source)
	}
	return string(e.Source) + " seen by " + e.Witness
}

func (v *statusView) setConfig(set *config.Set) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.set = set
	maps.DeleteFunc(v.servers, func(name string, _ api.BackendServerStatus) bool {
		_, known := set.Backend(name)
		return !known
	})
	maps.DeleteFunc(v.shown, func(name string, _ figures) bool {
		_, known := set.Pipelines[name]
		return !known
	})
}

// snapshot copies what is needed, so that the core never waits for the work on it.
func (v *statusView) snapshot() (*config.Set, map[string]api.BackendServerStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set, maps.Clone(v.servers)
}

// BackendServerStatus implements configuration.StatusSource. A server that
// nothing has been said of is live.
func (v *statusView) BackendServerStatus() []api.BackendServerStatus {
	set, known := v.snapshot()
	var statuses []api.BackendServerStatus
	for _, server := range set.Servers() {
		status, ok := known[server.Name]
		if !ok {
			status = api.BackendServerStatus{BackendServer: server.Name, State: string(fleet.Live)}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// PipelineStatus implements configuration.StatusSource.
func (v *statusView) PipelineStatus() []api.PipelineStatus {
	set, known := v.snapshot()
	servers := make(map[string][]config.Server)
	for _, server := range set.Servers() {
		state := cmp.Or(known[server.Name].State, string(fleet.Live))
		if !server.Leaving && state == string(fleet.Live) {
			servers[server.Model] = append(servers[server.Model], server)
		}
	}
	held := v.held()
	var statuses []api.PipelineStatus
	for _, name := range slices.Sorted(maps.Keys(set.Pipelines)) {
		model := set.Pipelines[name].Model
		status := pipelineStatus(name, set.Models[model].Layers, servers[model])
		status.Model = model
		v.measured(&status, held[name])
		statuses = append(statuses, status)
	}
	return statuses
}

// measured puts what the core measured in place of what the records say. The
// figures stay as they were shown until they moved: each that jitters would
// otherwise be a write to the platform, again and again.
func (v *statusView) measured(status *api.PipelineStatus, held float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	shown := v.shown[status.Pipeline]
	if !steady(shown.held, held, heldChange) {
		shown.held = held
	}
	if bound, ok := v.bounds[status.Pipeline]; ok {
		status.Missing, status.SingleCopy = bound.Missing, bound.SingleCopy
		status.Bottleneck, status.Disconnected = bound.Bottleneck, bound.Disconnected
		if !steady(shown.bound, bound.TokensPerSecond, boundChange) {
			shown.bound = bound.TokensPerSecond
		}
	}
	v.shown[status.Pipeline] = shown
	status.BoundTokensPerSecond = rounded(shown.bound)
	status.HeldTokensPerSecond = rounded(shown.held)
}

// rounded drops what is below a token in ten seconds.
func rounded(perSecond float64) float64 { return math.Round(perSecond*10) / 10 }

// pipelineStatus counts the copies of each layer on servers that may get new work.
func pipelineStatus(name string, layers int, servers []config.Server) api.PipelineStatus {
	copies := make([]int, layers)
	for _, server := range servers {
		for layer := max(server.Layers.From, 0); layer < min(server.Layers.To, layers); layer++ {
			copies[layer]++
		}
	}
	return api.PipelineStatus{Pipeline: name, Missing: layersWith(copies, 0), SingleCopy: layersWith(copies, 1)}
}

// layersWith lists the ranges of layers that have a number of copies.
func layersWith(copies []int, count int) []api.Layers {
	var ranges []api.Layers
	for layer, n := range copies {
		if n != count {
			continue
		}
		if last := len(ranges) - 1; last >= 0 && ranges[last].To == layer {
			ranges[last].To = layer + 1
			continue
		}
		ranges = append(ranges, api.Layers{From: layer, To: layer + 1})
	}
	return ranges
}
