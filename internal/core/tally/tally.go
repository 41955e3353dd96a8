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
	"math"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// LoadUnit is the unit of reported memory usage, in tokens times layers: an eighth of a
// usual request on a usual server.
const LoadUnit = 2048

// Tally is the aggregated state of some VMs.
type Tally struct {
	// VMs is the number of these VMs.
	VMs int
	// Process identifies the process of the VM, or of the hub of a data centre, that reports the
	// tally; 0 in a hub's answers and from VMs of older builds.
	Process uint64
	// Loads is the usage by their requests, by server.
	Loads map[string]backends.Usage
	// Partial is set if Loads has only the servers whose usage changed; that of the others is as
	// before.
	Partial bool
	// Counts are their requests and retries, by service. In a hub's answer they include those of
	// VMs that ended within the last window.
	Counts map[string]budget.History
	// Absent is the part of Counts of VMs that don't report any more: they ended, or can't be reached and
	// may go on. OldestReportAge is the age of the oldest report of the others; only a hub's
	// answer to a VM has it.
	Absent          map[string]budget.Count
	OldestReportAge time.Duration
	// MostVMs is the largest number of VMs that the reporters knew to report at the same time.
	MostVMs budget.KnownVMs
	// CountsUnknown is set in the answer of a hub that doesn't know yet what VMs did that ended.
	CountsUnknown bool
	// Full lists the servers that recently rejected one of their requests for lack of memory,
	// and for how long to treat them as full.
	Full map[string]time.Duration
	// Rates are the request rates that servers set, the newest report for each.
	Rates map[string]ratelimit.Report
	// Demand is what callers asked of these VMs. It is empty in a hub's answer to a VM.
	Demand demand.Report
	// Overall is the demand that reached all VMs, that of the VM that the answer is for included. Only
	// a hub's answer to a VM has it; nil from hubs of older builds and without requests.
	Overall *demand.Overall
	// Promises are the return times that they promised to refused callers, by service.
	Promises map[string]promise.Report
}

// quantize rounds loads down to whole units, as messages do, so that sums are exact. Servers whose
// usage rounds to nothing are left out.
func quantize(loads map[string]backends.Usage) map[string]backends.Usage {
	rounded := make(map[string]backends.Usage, len(loads))
	for id, load := range loads {
		load.Memory = math.Floor(load.Memory/LoadUnit) * LoadUnit
		if load != (backends.Usage{}) {
			rounded[id] = load
		}
	}
	return rounded
}

func subtract(from, usage backends.Usage) backends.Usage {
	return backends.Usage{Memory: from.Memory - usage.Memory, Running: from.Running - usage.Running}
}

// PeerCounts returns the counts of an answer to a VM.
func (t Tally) PeerCounts() budget.PeerCounts {
	return budget.PeerCounts{VMs: t.VMs, OldestAge: t.OldestReportAge, Counts: budget.Totals(t.Counts), Absent: t.Absent}
}
