package place

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"
)

// Planner plans the placements of the servers of one data centre. It is not safe
// for concurrent use.
type Planner struct {
	options Options
	models  map[string]Model
	servers map[string]*server
	lease   *roleLease
	// substitutes maps a lost server to its substitute.
	substitutes map[string]string
	// layerTimes is the learned time to load a layer, by type of accelerator.
	layerTimes map[string]time.Duration
	// orderCount is the number of orders created, for their IDs.
	orderCount int
	lastStatus Status
}

// roleLease is the period in which this VM holds the placement role.
type roleLease struct {
	fence uint64
	since time.Duration
	until time.Duration
}

// server is the known state of one server.
type server struct {
	config    ServerConfig
	available bool
	// availabilityChangedAt is when available last changed.
	availabilityChangedAt time.Duration
	// report is the latest report, and directReport the latest that was read
	// directly.
	report       *Report
	directReport *Report
	inFlight     *inFlightOrder
	// failures counts consecutive failed orders. No order is sent before retryAt.
	failures   int
	retryAt    time.Duration
	lastReadAt time.Duration
}

// New returns a planner without servers that does not hold the role.
func New(options Options) *Planner {
	return &Planner{
		options:     options,
		models:      make(map[string]Model),
		servers:     make(map[string]*server),
		substitutes: make(map[string]string),
		layerTimes:  make(map[string]time.Duration),
	}
}

// Configure sets the configuration in force: the models, and the model engines
// of the data centre.
func (p *Planner) Configure(now time.Duration, models map[string]Model, configs []ServerConfig) {
	p.models = models
	known := make(map[string]bool, len(configs))
	for _, config := range configs {
		known[config.Name] = true
		s, ok := p.servers[config.Name]
		if !ok {
			s = &server{availabilityChangedAt: now}
			p.servers[config.Name] = s
		}
		s.config = config
	}
	maps.DeleteFunc(p.servers, func(name string, _ *server) bool { return !known[name] })
	maps.DeleteFunc(p.substitutes, func(lost, substitute string) bool { return !known[lost] || !known[substitute] })
}

// SetAvailable sets whether a server is available.
func (p *Planner) SetAvailable(now time.Duration, name string, up bool) {
	if s, ok := p.servers[name]; ok && s.available != up {
		s.available, s.availabilityChangedAt = up, now
	}
}

// HandleRestart discards what is known of a server's previous process, so that the
// new one is read.
func (p *Planner) HandleRestart(name string) {
	if s, ok := p.servers[name]; ok {
		s.report, s.directReport, s.inFlight = nil, nil, nil
	}
}

// Observe handles a server's report. Reports older than the latest known one are
// dropped.
func (p *Planner) Observe(report Report) {
	s, ok := p.servers[report.Server]
	if !ok {
		return
	}
	if s.report != nil && (report.At < s.report.At || report.Incarnation < s.report.Incarnation) {
		return
	}
	if !report.Direct && s.report != nil && s.report.Incarnation == report.Incarnation {
		// A report that was not read directly has no adapters, role or loading
		// state.
		report.Loading = s.report.Loading
		report.Current.Adapters, report.Current.Role = s.report.Current.Adapters, s.report.Current.Role
	}
	s.report = &report
	if report.Direct {
		s.directReport = &report
	}
}

// SetLease records that this VM holds the placement role with a fencing number, from
// since until a time on its own clock.
func (p *Planner) SetLease(fence uint64, since, until time.Duration) {
	if p.lease != nil && p.lease.fence == fence {
		p.lease.until = max(p.lease.until, until)
		return
	}
	if p.lease != nil && fence < p.lease.fence {
		return
	}
	p.clearInFlight()
	p.lease = &roleLease{fence: fence, since: since, until: until}
}

// ClearLease records that this VM no longer holds the role.
func (p *Planner) ClearLease() {
	p.lease = nil
	p.clearInFlight()
}

// clearInFlight drops all in-flight orders. The next holder of the role reads
// the servers, as does this VM if it acquires the role again.
func (p *Planner) clearInFlight() {
	for _, s := range p.servers {
		s.inFlight = nil
	}
}

// Plan decides what to do now. It must be called after each change, and about
// once a second.
func (p *Planner) Plan(now time.Duration) Decision {
	var d Decision
	p.reconcileOrders(now)
	p.updateSubstitutes(now)
	if p.lease != nil && now < p.lease.until {
		p.planOrders(now, &d)
	}
	status := p.status(now)
	if !reflect.DeepEqual(status, p.lastStatus) {
		p.lastStatus = status
		d.Status = &status
	}
	return d
}

// planOrders adds the orders that are due, those that close a coverage gap
// first.
func (p *Planner) planOrders(now time.Duration, d *Decision) {
	for _, s := range p.byPriority() {
		if s.inFlight != nil {
			p.followOrder(now, s, d)
			continue
		}
		reason := p.blockedBy(now, s)
		if reason == blockerNeedsRead || !p.confirmed(s) && now > p.lateOrdersUntil(s) {
			p.requestRead(now, s, d)
		}
		if reason != blockerNone {
			continue
		}
		p.orderCount++
		next := p.nextOrder(s)
		next.ID = fmt.Sprintf("%s-%d-%d", p.options.DataCentre, p.lease.fence, p.orderCount)
		next.Fence = p.lease.fence
		s.inFlight = &inFlightOrder{order: next, state: Ordered, sentAt: now, incarnation: s.directReport.Incarnation}
		if next.Kind == OrderLoad {
			s.inFlight.layers = s.directReport.Current.missingLayers(next.Placement)
		}
		d.Orders = append(d.Orders, next)
	}
}

// byPriority lists the servers: substitutes first, then by name.
func (p *Planner) byPriority() []*server {
	substitutes := make(map[string]bool, len(p.substitutes))
	for _, substitute := range p.substitutes {
		substitutes[substitute] = true
	}
	names := slices.Sorted(maps.Keys(p.servers))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank(substitutes[a]), rank(substitutes[b])) })
	servers := make([]*server, 0, len(names))
	for _, name := range names {
		servers = append(servers, p.servers[name])
	}
	return servers
}

func rank(substitute bool) int {
	if substitute {
		return 0
	}
	return 1
}

// requestRead requests a direct report, at a limited rate.
func (p *Planner) requestRead(now time.Duration, s *server, d *Decision) {
	if !s.available || len(d.Reads) >= p.options.MaxReads || s.lastReadAt > 0 && now < s.lastReadAt+p.options.ReadInterval {
		return
	}
	s.lastReadAt = now
	d.Reads = append(d.Reads, s.config.Name)
}

// desired is the placement that a server should have now: its configured one, or
// that of the lost server that it replaces.
func (p *Planner) desired(s *server) Placement {
	if lost := p.lostServerOf(s); lost != "" {
		desired := p.servers[lost].config.Desired
		desired.Role = s.config.Desired.Role
		return desired
	}
	return s.config.Desired
}
