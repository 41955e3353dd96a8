package route

import "slices"

// Reroute repairs the path of a failed attempt: it keeps the stages of old whose
// servers still run, since they have the stream's KV cache, and replaces the
// others. If a gap can't be filled it chooses an entirely new path. The lost
// servers are treated like those of request.Avoid, as a last resort.
//
// Call it instead of Choose for every attempt after the first, with the previous
// attempt's path as old. The new path replaces the old one as load, whether or not
// Release was called in between. Each replacement counts as load immediately, so
// that the streams of a lost server spread over all possible replacements.
func (r *Router) Reroute(request Request, old Path, lost []string) (Path, error) {
	r.Advance(request.Now)
	request.Avoid = slices.Concat(request.Avoid, lost)
	if request.Service != "" {
		return r.Choose(request)
	}
	path, ok := r.replaceLost(request, old)
	if !ok {
		return r.Choose(request)
	}
	return r.assign(request, path), nil
}

// Standby returns the path that Reroute would return if a server of the path were
// lost now. It doesn't count the path as load.
func (r *Router) Standby(request Request, path Path, lost string) (Path, error) {
	request.Avoid = append(slices.Clone(request.Avoid), lost)
	if steps, ok := r.replaceLost(request, path); ok {
		return pathOf(steps), nil
	}
	steps, err := r.findPath(request)
	if err != nil {
		return nil, err
	}
	return pathOf(steps), nil
}

// replaceLost keeps the usable stages of a path and fills the gaps between them.
// It reports false if a gap can't be filled.
func (r *Router) replaceLost(request Request, old Path) ([]step, bool) {
	g := r.graphFor(request)
	if g == nil || len(old) == 0 {
		return nil, false
	}
	d := r.newDecision(g, &request)
	d.strict = true
	kept := make([]step, len(old))
	for i, stage := range old {
		kept[i] = r.keptStep(d, stage)
	}
	// A server of a kept stage can't take another one too: it would need KV
	// caches of this stream for two ranges.
	d.kept = kept
	var steps []step
	for i := 0; i < len(old); i++ {
		if kept[i].server != nil {
			steps = append(steps, kept[i])
			continue
		}
		gap := old[i].Layers
		for i+1 < len(old) && kept[i+1].server == nil {
			i++
			gap.To = old[i].Layers.To
		}
		filled, ok := d.search(gap, lastDataCentre(g, steps), nextDataCentre(kept, i+1))
		if !ok {
			return nil, false
		}
		steps = append(steps, filled...)
	}
	return steps, true
}

// keptStep returns the step for a stage whose server can continue the stream: it
// isn't excluded, has the layers loaded, and is the process with the KV cache.
// Otherwise the step has no server.
func (r *Router) keptStep(d *decision, stage Stage) step {
	s, ok := r.servers[stage.Server]
	if !ok || s.class == nil || d.excluded(s) || r.graphs[graphKey{s.Model, s.Version}] != d.graph {
		return step{}
	}
	loaded := s.Layers.From <= stage.Layers.From && stage.Layers.To <= s.Layers.To
	restarted := stage.Incarnation != 0 && s.Incarnation != 0 && stage.Incarnation != s.Incarnation
	if !loaded || restarted {
		return step{}
	}
	return step{server: s, dataCentre: s.class.dataCentre, layers: stage.Layers}
}

func lastDataCentre(g *graph, steps []step) int {
	if len(steps) == 0 {
		return g.localDC
	}
	return steps[len(steps)-1].dataCentre
}

// nextDataCentre returns the data centre of the kept stage after a gap, or -1 at
// the path's end.
func nextDataCentre(kept []step, next int) int {
	if next == len(kept) {
		return -1
	}
	return kept[next].dataCentre
}

func pathOf(steps []step) Path {
	path := make(Path, 0, len(steps))
	for _, s := range steps {
		path = append(path, stageOf(s.server, s.layers))
	}
	return path
}
