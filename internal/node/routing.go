package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// pathPipelines is where the operations address tells the pipelines' bounds.
const pathPipelines = "GET /pipelines"

// bounds publishes what each pipeline can carry.
type bounds struct {
	log logr.Logger
	vm  string

	mu     sync.Mutex
	latest map[string]core.PipelineBound
}

// addRouting publishes the pipelines' bounds as metrics, logs when a pipeline
// loses its last path or has one again, and tells the core of links and caches.
func addRouting(group *run.Group, p *parts) {
	actors.AddContext(group, newCacheFeed(p).run)
	b := &bounds{log: p.log, vm: p.self.Name, latest: make(map[string]core.PipelineBound)}
	p.operations.HandleFunc(pathPipelines, b.serve)
	p.loop.Handle(func(action core.Action) {
		if bound, ok := action.(core.PipelineBound); ok {
			b.take(bound)
		}
	})
}

func (b *bounds) take(bound core.PipelineBound) {
	b.publish(bound)
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.latest[bound.Pipeline]
	if bound.Removed {
		delete(b.latest, bound.Pipeline)
		return
	}
	b.latest[bound.Pipeline] = bound
	broken := bound.TokensPerSecond == 0
	switch wasBroken := known && before.TokensPerSecond == 0; {
	case broken && !wasBroken:
		telemetry.PipelineBroken.Log(b.log, "pipeline", bound.Pipeline, "missing", bound.Missing, "disconnected", bound.Disconnected)
	case !broken && wasBroken:
		telemetry.PipelineWhole.Log(b.log, "pipeline", bound.Pipeline, "tokensPerSecond", bound.TokensPerSecond)
	}
}

// serve answers with the bounds as a JSON list in order of name.
func (b *bounds) serve(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	list := make([]core.PipelineBound, 0, len(b.latest))
	for _, name := range slices.Sorted(maps.Keys(b.latest)) {
		list = append(list, b.latest[name])
	}
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (b *bounds) publish(bound core.PipelineBound) {
	singleCopy := 0
	for _, layers := range bound.SingleCopy {
		singleCopy += layers.Len()
	}
	missing := 0
	for _, layers := range bound.Missing {
		missing += layers.Len()
	}
	values := map[string]float64{
		"oleandershunt_pipeline_bound_tokens_per_second": bound.TokensPerSecond,
		"oleandershunt_pipeline_servers":                 float64(bound.Servers),
		"oleandershunt_pipeline_layers_single_copy":      float64(singleCopy),
		"oleandershunt_pipeline_layers_missing":          float64(missing),
	}
	for name, value := range values {
		series := fmt.Sprintf("%s{vm=%q,pipeline=%q}", name, b.vm, bound.Pipeline)
		if bound.Removed {
			metrics.UnregisterMetric(series)
			continue
		}
		metrics.GetOrCreateGauge(series, nil).Set(value)
	}
}
