// Package tally aggregates the load that the VMs of a deployment put on backend servers and how
// often they retry requests. Each VM reports to one VM of its data centre, the hub, and receives
// the sum of all others; hubs exchange the sums of their data centres. The package does no I/O
// and reads no clock; it is not safe for concurrent use.
//
// If each VM reported to all others instead, what a VM receives would grow with the number of
// VMs, so that in a large deployment each could report its loads only rarely. VMs would know
// next to nothing of one another, and servers would reject requests for lack of memory that
// other servers could serve.
package tally

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// Parameters of a hub.
const (
	// ReportTTL is how long the loads of a report count after it was received: three reporting
	// intervals. The requests of a VM that has gone have ended.
	ReportTTL = 750 * time.Millisecond
	// CountsTTL is how long the retries of a report count: they were made within the window of
	// the retry budget, whatever became of the VM.
	CountsTTL = 10 * time.Second
)

// Tally is the aggregated state of some VMs.
type Tally struct {
	// VMs is the number of these VMs.
	VMs int
	// Loads is the usage by their requests, by server.
	Loads map[string]backends.Usage
	// Counts are their requests and retries, by service.
	Counts map[string]budget.Count
	// Full lists the servers that recently rejected one of their requests for lack of memory,
	// and for how long to treat them as full.
	Full map[string]time.Duration
	// Rates are the request rates that servers set, the newest report for each.
	Rates map[string]ratelimit.Report
}

func newTally() Tally {
	return Tally{Loads: make(map[string]backends.Usage), Counts: make(map[string]budget.Count), Full: make(map[string]time.Duration), Rates: make(map[string]ratelimit.Report)}
}

func (t *Tally) add(other Tally) {
	t.VMs += other.VMs
	for id, load := range other.Loads {
		t.Loads[id] = t.Loads[id].Add(load)
	}
	for service, count := range other.Counts {
		sum := t.Counts[service]
		sum.Requests += count.Requests
		sum.Retries += count.Retries
		t.Counts[service] = sum
	}
	for id, span := range other.Full {
		t.Full[id] = max(t.Full[id], span)
	}
	for id, report := range other.Rates {
		if known, ok := t.Rates[id]; !ok || report.ObservedAt > known.ObservedAt {
			t.Rates[id] = report
		}
	}
}

// report is a received tally and the time at which it was received.
type report struct {
	at    time.Duration
	tally Tally
}

// current returns the part of a report that still counts.
func (r report) current(now time.Duration) Tally {
	if now-r.at <= ReportTTL {
		return r.tally
	}
	return Tally{Counts: r.tally.Counts}
}

// Hub aggregates the reports of its data centre's VMs and the sums of other data centres.
type Hub struct {
	dataCentre  string
	vms, remote map[string]report
}

// NewHub returns the hub of a data centre, without any reports.
func NewHub(dataCentre string) *Hub {
	return &Hub{dataCentre: dataCentre, vms: make(map[string]report), remote: make(map[string]report)}
}

// Report records a VM's own tally.
func (h *Hub) Report(now time.Duration, vm string, tally Tally) { h.vms[vm] = report{now, tally} }

// ReportRemote records the sum of another data centre.
func (h *Hub) ReportRemote(now time.Duration, dataCentre string, tally Tally) {
	if dataCentre != h.dataCentre {
		h.remote[dataCentre] = report{now, tally}
	}
}

// LocalSum returns the sum of this data centre's VMs except the given one; an empty name excludes
// none.
func (h *Hub) LocalSum(now time.Duration, except string) Tally {
	sum := newTally()
	sum.addReports(now, h.vms, except)
	return sum
}

// SumExcept returns the sum of all VMs except the given one.
func (h *Hub) SumExcept(now time.Duration, except string) Tally {
	sum := h.LocalSum(now, except)
	sum.addReports(now, h.remote, "")
	return sum
}

// addReports adds the parts of reports that still count, except those from the given VM, and
// deletes expired reports.
func (t *Tally) addReports(now time.Duration, reports map[string]report, except string) {
	for from, report := range reports {
		if now-report.at > CountsTTL {
			delete(reports, from)
		} else if from != except {
			t.add(report.current(now))
		}
	}
}
