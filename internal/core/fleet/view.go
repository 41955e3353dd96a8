package fleet

import (
	"maps"
	"slices"
	"time"
)

// Report is a backend server's own report of its state, received by this VM.
type Report struct {
	Server      string
	Incarnation uint64
	Leaving     bool
}

// Changes are the results of the evidence since the last call of View.Changes,
// sorted by server name.
type Changes struct {
	// Statuses are the statuses that changed.
	Statuses []Status
	// Opinions are to be published to the other VMs.
	Opinions []Opinion
	// Restarts are the servers whose process changed.
	Restarts []Restart
	// ProbeNow lists the servers that this VM should probe now, because some VM
	// can't reach them.
	ProbeNow []string
}

// View is one VM's view of the health of all backend servers. It is not safe for
// concurrent use.
type View struct {
	options       Options
	servers       map[string]*server
	vms           int
	dirty         map[string]struct{}
	timeDependent map[string]struct{}
	restarts      []Restart
}

// New returns a View without servers.
func New(options Options) *View {
	return &View{
		options:       options,
		servers:       make(map[string]*server),
		vms:           1,
		dirty:         make(map[string]struct{}),
		timeDependent: make(map[string]struct{}),
	}
}

// SetRecords replaces the set of backend servers by that of a configuration.
// Evidence on servers that remain is kept.
func (v *View) SetRecords(records []Record) {
	known := make(map[string]struct{}, len(records))
	for _, record := range records {
		known[record.Name] = struct{}{}
		s, ok := v.servers[record.Name]
		if !ok {
			s = &server{peerOpinions: make(map[string]Opinion)}
			v.servers[record.Name] = s
		}
		if !ok || s.record != record {
			s.record = record
			v.markDirty(record.Name)
		}
	}
	for name := range v.servers {
		if _, ok := known[name]; !ok {
			delete(v.servers, name)
			delete(v.timeDependent, name)
			delete(v.dirty, name)
		}
	}
}

// SetVMs sets the number of live VMs, including this one. A VM that is alone needs
// no second witness.
func (v *View) SetVMs(live int) {
	if v.vms == live {
		return
	}
	v.vms = live
	for name, s := range v.servers {
		if s.link.down() || len(s.peerOpinions) > 0 {
			v.markDirty(name)
		}
	}
}

// ApplyReport applies a backend server's own report, which is also a successful
// probe.
func (v *View) ApplyReport(now time.Duration, report Report) {
	s, ok := v.servers[report.Server]
	if !ok {
		return
	}
	v.setIncarnation(s, report.Incarnation)
	s.reportedLeaving = report.Leaving
	s.link.recordSuccess(now)
	v.markDirty(report.Server)
}

// ObserveIncarnation applies an incarnation that another VM observed. Such reports
// can be late, so only a higher incarnation than the known one counts.
func (v *View) ObserveIncarnation(name string, incarnation uint64) {
	s, ok := v.servers[name]
	if !ok || incarnation <= s.incarnation {
		return
	}
	v.setIncarnation(s, incarnation)
	s.reportedLeaving = false
	v.markDirty(name)
}

// setIncarnation sets the server's current incarnation and records a restart unless
// it is the first known one.
func (v *View) setIncarnation(s *server, incarnation uint64) {
	if s.incarnation != 0 && s.incarnation != incarnation {
		v.restarts = append(v.restarts, Restart{
			Server: s.record.Name, Before: s.incarnation, After: incarnation,
			Planned: len(s.leaving(v.options.Self)) > 0,
		})
	}
	s.incarnation = incarnation
}

// RequestSucceeded records a request that a backend server answered.
func (v *View) RequestSucceeded(now time.Duration, name string) {
	s, ok := v.servers[name]
	if !ok {
		return
	}
	healthy := s.link.reach == Reachable && s.link.failures == 0 && s.link.pausedUntil == 0
	s.link.requestSucceeded(now)
	if !healthy {
		v.markDirty(name)
	}
}

// RequestFailed records a request whose connection to a backend server broke or
// timed out.
func (v *View) RequestFailed(now time.Duration, name string) {
	if s, ok := v.servers[name]; ok {
		s.link.requestFailed(now, v.options)
		v.markDirty(name)
	}
}

// ProbingStopped discards the server's own report, because this VM no longer probes
// it. Otherwise the VM would not learn that the server stays after all, and its
// outdated report would make all VMs avoid the server.
func (v *View) ProbingStopped(name string) {
	if s, ok := v.servers[name]; ok && s.reportedLeaving {
		s.reportedLeaving = false
		v.markDirty(name)
	}
}

// ProbeFailed records a probe that timed out.
func (v *View) ProbeFailed(now time.Duration, name string) {
	if s, ok := v.servers[name]; ok {
		s.link.recordFailure(now, v.options.FailureThreshold)
		v.markDirty(name)
	}
}

// ConnectionRefused records a connection that a backend server refused.
func (v *View) ConnectionRefused(now time.Duration, name string) {
	if s, ok := v.servers[name]; ok {
		s.link.recordRefusal(now)
		v.markDirty(name)
	}
}

// SetPeerOpinion replaces the opinion of another VM.
func (v *View) SetPeerOpinion(witness string, opinion Opinion) {
	s, ok := v.servers[opinion.Server]
	if !ok || witness == v.options.Self {
		return
	}
	if opinion.Neutral() {
		delete(s.peerOpinions, witness)
	} else {
		s.peerOpinions[witness] = opinion
	}
	v.markDirty(opinion.Server)
}

// RemoveWitness removes the opinions of a VM that is gone. It can't withdraw them
// any more, so they would keep a server out of use for ever.
func (v *View) RemoveWitness(witness string) {
	for name, s := range v.servers {
		if _, ok := s.peerOpinions[witness]; ok {
			delete(s.peerOpinions, witness)
			v.markDirty(name)
		}
	}
}

// ApplyPlatformList applies the platform's list. A server missing from the list
// keeps its state: the list may not include it yet, so its absence doesn't prove
// that it is gone.
func (v *View) ApplyPlatformList(list []PlatformEntry) {
	for _, entry := range list {
		s, ok := v.servers[entry.Name]
		if ok && s.listedLeaving != entry.Leaving {
			s.listedLeaving = entry.Leaving
			v.markDirty(entry.Name)
		}
	}
}

// Tick updates state that depends on time: flap counts decay, and old successes stop
// counting.
func (v *View) Tick(now time.Duration) {
	for name := range v.timeDependent {
		s := v.servers[name]
		s.link.decay(now, v.options.FlapDecay)
		v.markDirty(name)
		if !s.link.changesWithTime() {
			delete(v.timeDependent, name)
		}
	}
	for name, s := range v.servers {
		if len(s.peerOpinions) > 0 {
			v.markDirty(name)
		}
	}
}

// Changes re-evaluates every server with new evidence.
func (v *View) Changes(now time.Duration) Changes {
	changes := Changes{Restarts: v.restarts}
	v.restarts = nil
	for _, name := range slices.Sorted(maps.Keys(v.dirty)) {
		s := v.servers[name]
		if s.link.changesWithTime() {
			v.timeDependent[name] = struct{}{}
		}
		next := s.evaluate(now, v.options, v.vms)
		if !sameStatus(next, s.status) {
			changes.Statuses = append(changes.Statuses, next)
			if next.State == Suspect || next.State == Gone {
				changes.ProbeNow = append(changes.ProbeNow, name)
			}
		}
		s.status = next
		if opinion := s.opinion(); opinion != s.published && !(opinion.Neutral() && s.published.Neutral()) {
			s.published = opinion
			changes.Opinions = append(changes.Opinions, opinion)
		}
	}
	clear(v.dirty)
	return changes
}

// Status returns a server's status as of the last call of Changes.
func (v *View) Status(name string) (Status, bool) {
	s, ok := v.servers[name]
	if !ok {
		return Status{}, false
	}
	return s.status, true
}

// Statuses lists the statuses sorted by server name.
func (v *View) Statuses() []Status {
	statuses := make([]Status, 0, len(v.servers))
	for _, name := range slices.Sorted(maps.Keys(v.servers)) {
		statuses = append(statuses, v.servers[name].status)
	}
	return statuses
}

func (v *View) markDirty(name string) { v.dirty[name] = struct{}{} }
