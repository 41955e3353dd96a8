package route

import (
	"slices"
	"strings"
	"time"
)

// SetServers replaces the servers to choose from. Servers that are known already
// keep their loads and estimates. A call costs time in proportion to the list, and
// the next choice in proportion to the changes. Use SetServer to change one server.
func (r *Router) SetServers(servers []Server) {
	listed := make(map[string]struct{}, len(servers))
	for _, s := range servers {
		listed[s.Name] = struct{}{}
		r.SetServer(s)
	}
	for name := range r.servers {
		if _, ok := listed[name]; !ok {
			r.RemoveServer(name)
		}
	}
}

// SetServer adds or updates a server.
func (r *Router) SetServer(updated Server) {
	s, ok := r.servers[updated.Name]
	if !ok {
		s = &server{Server: Server{Name: updated.Name}}
		r.servers[updated.Name] = s
	}
	if s.Server == updated && ok {
		return
	}
	r.detach(s)
	if s.Incarnation != updated.Incarnation {
		r.resetObservations(s)
	}
	s.setEligible(r.now, updated.Eligible)
	recorded := s.TokensPerSecond
	s.Server = updated
	if s.capacity == 0 || recorded != updated.TokensPerSecond {
		s.nominalCapacity = r.initialCapacity(updated)
		s.capacity = s.nominalCapacity
		s.stats = streamStats{}
	}
	r.attach(s)
}

// RemoveServer removes a server. Its streams stay assigned until they are
// released.
func (r *Router) RemoveServer(name string) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	r.detach(s)
	r.prefixes.removeServer(s)
	delete(r.servers, name)
}

func (r *Router) resetObservations(s *server) {
	s.reported = false
	s.otherStreams = 0
	s.maxBatch = 0
	s.stats = streamStats{}
	s.stageSeconds = 0
	r.prefixes.removeServer(s)
}

// initialCapacity returns the capacity of the server's record. Without one it
// assumes the model's mean nominal capacity per layer: until streams are measured,
// only the ratios between servers matter.
func (r *Router) initialCapacity(s Server) float64 {
	if s.TokensPerSecond > 0 {
		return s.TokensPerSecond
	}
	g := r.graphs[graphKey{s.Model, s.Version}]
	if g == nil || s.Layers.Len() <= 0 {
		return 1 / float64(max(s.Layers.Len(), 1))
	}
	return g.meanNominalCapacity() / float64(s.Layers.Len())
}

func (r *Router) attach(s *server) {
	if !s.Eligible {
		return
	}
	if s.Service != "" {
		c, ok := r.services[s.Service]
		if !ok {
			c = &class{}
			r.services[s.Service] = c
		}
		c.insert(s)
		return
	}
	if s.Model == "" {
		return
	}
	key := graphKey{s.Model, s.Version}
	g, ok := r.graphs[key]
	if !ok {
		g = newGraph(s.Model, s.Version)
		r.graphs[key] = g
		versions := append(r.versions[s.Model], s.Version)
		slices.SortFunc(versions, strings.Compare)
		r.versions[s.Model] = versions
	}
	g.add(s)
}

func (r *Router) detach(s *server) {
	if s.class == nil {
		return
	}
	if s.Service != "" {
		s.class.delete(s)
		return
	}
	key := graphKey{s.Model, s.Version}
	g := r.graphs[key]
	g.remove(s)
	if len(g.classes) == 0 {
		delete(r.graphs, key)
		r.versions[s.Model] = slices.DeleteFunc(r.versions[s.Model], func(v string) bool { return v == s.Version })
	}
}

// SetLink adds or updates the link between two data centres.
func (r *Router) SetLink(link Link) {
	key := linkKey{link.From, link.To}
	if r.links[key] == link {
		return
	}
	r.links[key] = link
	for _, g := range r.graphs {
		g.recomputeNow = true
	}
}

// ObserveLoad applies a server's load report.
func (r *Router) ObserveLoad(now time.Duration, report Report) {
	r.Advance(now)
	if s, ok := r.servers[report.Server]; ok {
		s.applyReport(now, report)
	}
}

// ObserveCache applies a server's cache events. Events of another incarnation than
// the known one are ignored.
func (r *Router) ObserveCache(name string, incarnation uint64, events []CacheEvent) {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != 0 && s.Incarnation != incarnation {
		return
	}
	for _, event := range events {
		r.prefixes.apply(s, incarnation, event)
	}
}

// RecordProgress records how many tokens of a request's answer have been delivered, over
// all its attempts. The token rate since the last call updates the estimated
// capacities of the path's servers. Call it at the end of an attempt, before
// Release, and from time to time during a long one.
func (r *Router) RecordProgress(id string, now time.Duration, delivered int) {
	r.Advance(now)
	a, ok := r.assignments[id]
	tokens := delivered - a.delivered
	if !ok || tokens < minSampleTokens || now <= a.sampleStart {
		return
	}
	seconds := (now - a.sampleStart).Seconds()
	updateStageTimes(a.servers, max(seconds/float64(tokens)-a.linkDelay, 0))
	for i, s := range a.servers {
		s.accumulate(now)
		before := s.capacity
		s.updateCapacity(streamSample{tokens: float64(tokens), seconds: seconds, streamSeconds: a.streamSeconds[i]})
		a.streamSeconds[i] = s.streamSeconds
		if g := r.graphs[graphKey{s.Model, s.Version}]; g != nil && s.class != nil && s.Service == "" {
			g.addDrift(s.capacity - before)
		}
	}
	a.sampleStart, a.delivered = now, delivered
	r.assignments[id] = a
}
