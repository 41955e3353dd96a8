// Package ratelimit enforces the request rates that backend servers set for all VMs together.
// VMs gossip the rates that they observe; which of them send to a limited server, and how much,
// each VM derives from the set of live VMs. The package does no I/O and reads no clock; it is
// not safe for concurrent use.
package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// Unlimited is the rate of a server that sets no limit.
var Unlimited = math.Inf(1)

// endReportFor is how long other VMs are informed that a server no longer sets a rate.
const endReportFor = 5 * time.Second

// Report is an observation of the rate that a server has set.
type Report struct {
	// PerSecond is the number of requests per second that the server accepts from all VMs
	// together.
	PerSecond float64
	// ObservedAt is when the rate was observed, by this VM's clock.
	ObservedAt time.Duration
}

// Limited reports whether the server sets a rate.
func (w Report) Limited() bool { return !math.IsInf(w.PerSecond, 1) }

// Limits holds the rates of limited servers and this VM's shares of them.
type Limits struct {
	servers map[string]*serverState
	// self is the name of this VM, and vms are all live VMs. Until they are known, limited
	// servers get no requests.
	self string
	vms  []lease.VM
}

// serverState is what is known about one server.
type serverState struct {
	report     Report
	dataCentre string
	// endReportUntil is until when other VMs are informed that the limit has ended.
	endReportUntil time.Duration
	// demand is this VM's part of what callers send to the server's service, if that is known.
	demand      float64
	demandKnown bool
	// share is this VM's part of the rate, in requests per second. bucket is nil if it is 0.
	share  float64
	bucket *rate.Limiter
}

// New returns limits with no servers and no VMs.
func New() *Limits { return &Limits{servers: make(map[string]*serverState)} }

// ObserveAnswer records the rate in a server's own answer to a request that was sent at the given time
// and answered now. perSecond is Unlimited if the answer sets no rate. It reports whether the
// rate changed.
//
// An answer without a rate does not end a limit that was reported after the request was sent,
// because the answer may be older than the limit.
func (l *Limits) ObserveAnswer(now, sent time.Duration, id, dataCentre string, perSecond float64) bool {
	report := Report{PerSecond: perSecond, ObservedAt: now}
	if !report.Limited() {
		report.ObservedAt = sent
	}
	return l.merge(now, id, dataCentre, report)
}

// MergeReport merges a report from another VM. If that VM still reports a limit that has ended, the
// end is announced again.
func (l *Limits) MergeReport(now time.Duration, id, dataCentre string, report Report) {
	if known, ok := l.servers[id]; ok && report.ObservedAt < known.report.ObservedAt && report.Limited() && !known.report.Limited() {
		known.endReportUntil = now + endReportFor
		return
	}
	l.merge(now, id, dataCentre, report)
}

func (l *Limits) merge(now time.Duration, id, dataCentre string, report Report) (changed bool) {
	known, ok := l.servers[id]
	switch {
	case !ok && !report.Limited():
		return false
	case !ok:
		known = &serverState{report: Report{PerSecond: Unlimited}, dataCentre: dataCentre}
		l.servers[id] = known
	case report.ObservedAt < known.report.ObservedAt:
		return false
	}
	changed = known.report.PerSecond != report.PerSecond
	known.report = report
	if changed && !report.Limited() {
		known.endReportUntil = now + endReportFor
	}
	if changed {
		l.updateShare(now, id, known)
	}
	return changed
}

// Forget removes a server that no longer exists.
func (l *Limits) Forget(id string) { delete(l.servers, id) }

// Reports returns the rates and the ended limits to report to other VMs.
func (l *Limits) Reports(now time.Duration) map[string]Report {
	reports := make(map[string]Report)
	for id, known := range l.servers {
		if known.report.Limited() || now < known.endReportUntil {
			reports[id] = known.report
		}
	}
	return reports
}

// Report returns what is known of a server's rate.
func (l *Limits) Report(id string) Report {
	if known, ok := l.servers[id]; ok {
		return known.report
	}
	return Report{PerSecond: Unlimited}
}
