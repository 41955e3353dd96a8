package edge

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/peer"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// encodeTally converts a tally to its message, with ages relative to now. Of the counts it has the
// totals only.
func encodeTally(from tally.Tally, now time.Duration) *tallyv1.Tally {
	to := &tallyv1.Tally{Vms: uint32(from.VMs), Counts: make(map[string]*tallyv1.Count, len(from.Counts))}
	for id, span := range from.Full {
		to.Full, to.FullMillis = append(to.Full, id), append(to.FullMillis, uint32(span.Milliseconds()))
	}
	for id, rate := range from.Rates {
		to.Limited, to.PerSecond = append(to.Limited, id), append(to.PerSecond, rate.PerSecond)
		to.SaidAgeMicros = append(to.SaidAgeMicros, uint64(max(now-rate.ObservedAt, 0).Microseconds()))
	}
	for id, load := range from.Loads {
		if units := uint32(load.Memory / tally.LoadUnit); units > 0 || load.Running > 0 {
			to.Servers, to.Loads = append(to.Servers, id), append(to.Loads, units)
			to.Running = append(to.Running, uint32(load.Running))
		}
	}
	for service, total := range budget.Totals(from.Counts) {
		to.Counts[service] = &tallyv1.Count{Requests: uint32(total.Requests), Repeats: uint32(total.Retries)}
	}
	to.AbsentCounts = make(map[string]*tallyv1.Count, len(from.Absent))
	for service, count := range from.Absent {
		to.AbsentCounts[service] = &tallyv1.Count{Requests: uint32(max(count.Requests, 0)), Repeats: uint32(max(count.Retries, 0))}
	}
	to.OldestReportAgeMicros = uint64(max(from.OldestReportAge, 0).Microseconds())
	if most := from.MostVMs; most.VMs > 0 {
		to.MostVms, to.MostVmsAgeMicros = uint32(most.VMs), uint64(max(now-most.At, 0).Microseconds())
	}
	to.Demand, to.HeavyHitters = encodeDemand(from.Demand.Counts), encodeSummaries(from.Demand.Accounts)
	to.Promises = encodePromises(from.Promises)
	return to
}

// addLoads adds loads to a message. A server without load is one that had some before.
func addLoads(to *tallyv1.Tally, loads []tally.ServerLoad) {
	to.Servers, to.Loads, to.Running = make([]string, len(loads)), make([]uint32, len(loads)), make([]uint32, len(loads))
	for i, load := range loads {
		to.Servers[i], to.Loads[i], to.Running[i] = load.ID, uint32(load.Usage.Memory/tally.LoadUnit), uint32(load.Usage.Running)
	}
}

// decodeLoads is the inverse of addLoads. A message that ends too early is read up to there.
func decodeLoads(from *tallyv1.Tally) []tally.ServerLoad {
	loads := make([]tally.ServerLoad, min(len(from.GetServers()), len(from.GetLoads()), len(from.GetRunning())))
	for i := range loads {
		usage := backends.Usage{Memory: float64(from.GetLoads()[i]) * tally.LoadUnit, Running: int(from.GetRunning()[i])}
		loads[i] = tally.ServerLoad{ID: from.GetServers()[i], Usage: usage}
	}
	return loads
}

// decodeTally converts a message to a tally, with ages relative to the given time.
func decodeTally(from *tallyv1.Tally, at time.Duration) tally.Tally {
	to := tally.Tally{
		VMs:    int(from.GetVms()),
		Loads:  make(map[string]backends.Usage),
		Counts: decodeCounts(from.GetCounts()),
		Full:   make(map[string]time.Duration),
		Rates:  decodeRates(from, at),
		Demand: demand.Report{Counts: decodeDemand(from.GetDemand()), Accounts: decodeSummaries(from.GetHeavyHitters())},

		Promises: decodePromises(from),

		OldestReportAge: peer.AgeFromMicros(from.GetOldestReportAgeMicros()),
	}
	if absent := from.GetAbsentCounts(); len(absent) > 0 {
		to.Absent = budget.Totals(decodeCounts(absent))
	}
	if most := from.GetMostVms(); most > 0 {
		to.MostVMs = budget.KnownVMs{VMs: int(most), At: at - peer.AgeFromMicros(from.GetMostVmsAgeMicros())}
	}
	for i, id := range from.GetFull() {
		if i < len(from.GetFullMillis()) {
			to.Full[id] = time.Duration(from.GetFullMillis()[i]) * time.Millisecond
		}
	}
	for i, id := range from.GetServers() {
		if i >= len(from.GetLoads()) {
			break
		}
		load := backends.Usage{Memory: float64(from.GetLoads()[i]) * tally.LoadUnit}
		if i < len(from.GetRunning()) {
			load.Running = int(from.GetRunning()[i])
		}
		to.Loads[id] = load
	}
	return to
}

// decodeRates decodes the rate limits of servers. Rates that are negative or NaN are skipped.
func decodeRates(from *tallyv1.Tally, at time.Duration) map[string]ratelimit.Report {
	rates := make(map[string]ratelimit.Report)
	for i, id := range from.GetLimited() {
		if i >= min(len(from.GetPerSecond()), len(from.GetSaidAgeMicros())) {
			break
		}
		if perSecond := from.GetPerSecond()[i]; perSecond >= 0 {
			rates[id] = ratelimit.Report{PerSecond: perSecond, ObservedAt: at - peer.AgeFromMicros(from.GetSaidAgeMicros()[i])}
		}
	}
	return rates
}
