package tally

import (
	"maps"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// Parameters of a hub.
const (
	// ReportTTL is how long the loads of a report count after it was received: three reporting
	// intervals. The requests of a VM that has gone have ended.
	ReportTTL = 750 * time.Millisecond
	// CountsTTL is the window of the retry budget unless SetWindow sets another one. Requests and
	// retries count for so long, whatever became of the VM.
	CountsTTL = 10 * time.Second
	// idlePeriod is the time without reports after which a hub no longer knows what VMs did
	// meanwhile: three reporting intervals. VMs whose hub doesn't answer use another one for at
	// least a second.
	idlePeriod = ReportTTL
	// inheritPeriod is how long a hub waits for the counts that others knew before: three
	// reporting intervals, until each VM has reported to it, has learnt that it is another hub,
	// and has passed on what it knew. The first of them may know less than others.
	inheritPeriod = 750 * time.Millisecond
	// oldestReportReuse is how long the oldest report isn't looked for again: each answer needs it.
	oldestReportReuse = 100 * time.Millisecond
)

// Hub aggregates the reports of its data centre's VMs and the sums of other data centres.
//
// It keeps running sums: a report costs what it changes, and an answer what changed since the last
// one. Adding up all reports for each answer costs the square of the number of VMs: with 207 VMs
// and 3,000 servers two processor cores and 690 Mbit/s.
type Hub struct {
	dataCentre  string
	vms, remote map[string]report
	// local are the sums of this data centre's VMs, all those of all data centres.
	local, all sums
	// mostVMs is the largest number of VMs that any report gave.
	mostVMs budget.KnownVMs
	// oldestReportAt is when the oldest report was received of those that had not expired at oldestFoundAt.
	oldestReportAt, oldestFoundAt time.Duration
	// log orders the servers by the last change of their sum over all data centres.
	log loadLog
	// full and rates are what VMs and data centres report of single servers.
	full  fullServers
	rates rateReports
	// promises are the promised return times of all data centres, and localPromises those of this one.
	promises, localPromises promiseSums
	// keys are the promised keys of all reports as of keysAt.
	keys   map[string][]promise.Due
	keysAt time.Duration
	// demand is what VMs are told of the demand of all.
	demand overallDemand
	// nextExpiry is the earliest time at which a part of a report may expire.
	nextExpiry time.Duration
	// window is the window of the retry budget.
	window time.Duration
	// servingSince is since when VMs have reported to this hub without a break, and servedAt when
	// they last did. inherited are counts from before that were learnt from others, if any.
	servingSince, servedAt time.Duration
	inherited              Counts
	// nothingBeforeUntil is until when a hub that begins to serve knows that no VM ended before,
	// after the first start of the deployment.
	nothingBeforeUntil time.Duration
}

// report is a received tally and the time at which it was received. Once its loads have expired
// only its counts are left.
type report struct {
	at          time.Duration
	tally       Tally
	loadsExpire bool
	// before is what an earlier process of a data centre's hub reported last. This process may
	// not know all of it.
	before Counts
}

// expiry returns the time after which the next part of a report expires.
func (r report) expiry(window time.Duration) time.Duration {
	if r.loadsExpire {
		return r.at + ReportTTL
	}
	return r.at + window
}

// NewHub returns the hub of a data centre, without any reports. The epoch tells it from other hubs.
// isLocal reports whether a server is in the data centre of the hub.
func NewHub(dataCentre string, epoch uint64, isLocal func(server string) bool) *Hub {
	return &Hub{
		dataCentre: dataCentre, vms: make(map[string]report), remote: make(map[string]report),
		local: newSums(), all: newSums(), log: newLoadLog(epoch, isLocal),
		full: make(fullServers), rates: make(rateReports), window: CountsTTL,
		promises: make(promiseSums), localPromises: make(promiseSums),
	}
}

// SetWindow sets the window of the retry budget, before the first report.
func (h *Hub) SetWindow(window time.Duration) { h.window = window }

// bucket returns the bucket of a time.
func (h *Hub) bucket(at time.Duration) int64 { return int64(at / (h.window / budget.HistoryBuckets)) }

// Report records a VM's own tally.
func (h *Hub) Report(now time.Duration, vm string, tally Tally) {
	h.expire(now)
	h.put(now, h.vms, vm, tally, &h.local)
}

// ReportRemote records the sum of another data centre.
func (h *Hub) ReportRemote(now time.Duration, dataCentre string, tally Tally) {
	h.expire(now)
	if dataCentre != h.dataCentre {
		h.put(now, h.remote, dataCentre, tally, nil)
	}
}

// put replaces the report of a VM or data centre in the sums. vmSums are the sums of this data centre
// for one of its VMs, and nil for another data centre.
//
// Loads end with the process that reported them. Counts don't: if a VM has restarted, those of its
// earlier process stay in the sums until they are older than the window.
func (h *Hub) put(now time.Duration, reports map[string]report, from string, tally Tally, vmSums *sums) {
	before := reports[from]
	h.mostVMs = h.mostVMs.Merge(now, tally.MostVMs, 2*h.window)
	tally.Loads = quantize(tally.Loads)
	next := report{at: now, tally: tally, loadsExpire: true, before: before.before}
	sameProcess := before.tally.Process == tally.Process
	if vmSums == nil {
		if !sameProcess {
			next.before = Counts{At: before.at, Histories: before.tally.Counts}
		}
		missing := h.missing(now, tally.Counts, next.before)
		next.tally.Counts, next.tally.Absent = Add(tally.Counts, missing), addTotals(budget.Totals(missing), tally.Absent)
	}
	if sameProcess || vmSums == nil {
		h.subtractCounts(before, vmSums)
	}
	if !before.loadsExpire {
		h.all.absent.subtract(h.bucket(before.at), before.tally.Counts)
		if vmSums != nil {
			vmSums.absent.subtract(h.bucket(before.at), before.tally.Counts)
		}
	}
	reports[from] = next
	h.addCounts(next, vmSums)
	h.replace(now, reporter{from, vmSums != nil}, before.tally, next.tally, vmSums)
	h.replacePromises(before, next, vmSums != nil)
	h.nextExpiry = min(h.nextExpiry, now+ReportTTL)
}

func (h *Hub) addCounts(r report, vmSums *sums) {
	h.all.counts.add(h.bucket(r.at), r.tally.Counts)
	if vmSums != nil {
		vmSums.counts.add(h.bucket(r.at), r.tally.Counts)
	}
}

func (h *Hub) subtractCounts(r report, vmSums *sums) {
	h.all.counts.subtract(h.bucket(r.at), r.tally.Counts)
	if vmSums != nil {
		vmSums.counts.subtract(h.bucket(r.at), r.tally.Counts)
	}
}

// reporter is a VM or a data centre.
type reporter struct {
	name string
	isVM bool
}

func (r reporter) key() string {
	if r.isVM {
		return "vm/" + r.name
	}
	return "data-centre/" + r.name
}

// replace takes a report off the sums and what is known of single servers, and adds another one.
func (h *Hub) replace(now time.Duration, from reporter, before, after Tally, vmSums *sums) {
	for _, id := range h.all.replace(before, after) {
		h.log.record(now, id, h.all.loads[id])
	}
	if vmSums != nil {
		vmSums.replace(before, after)
	}
	h.replaceFull(from.key(), before, after)
	h.replaceRates(from.key(), before, after)
}

func (h *Hub) replaceFull(from string, before, after Tally) {
	for id := range before.Full {
		if _, still := after.Full[id]; !still {
			h.full.remove(from, id)
		}
	}
	for id, span := range after.Full {
		h.full.put(from, id, span)
	}
}

func (h *Hub) replaceRates(from string, before, after Tally) {
	for id := range before.Rates {
		if _, still := after.Rates[id]; !still {
			h.rates.remove(from, id)
		}
	}
	for id, rate := range after.Rates {
		h.rates.put(from, id, rate)
	}
}

// expire removes what no longer counts.
func (h *Hub) expire(now time.Duration) {
	if now <= h.nextExpiry {
		return
	}
	h.nextExpiry = now + ReportTTL
	h.expireReports(now, h.vms, &h.local)
	h.expireReports(now, h.remote, nil)
}

func (h *Hub) expireReports(now time.Duration, reports map[string]report, vmSums *sums) {
	for from, r := range reports {
		if now > r.expiry(h.window) {
			left := Tally{}
			if r.loadsExpire && now <= r.at+h.window {
				left.Process, left.Counts = r.tally.Process, r.tally.Counts
				h.all.absent.add(h.bucket(r.at), r.tally.Counts)
				if vmSums != nil {
					vmSums.absent.add(h.bucket(r.at), r.tally.Counts)
				}
				reports[from] = report{at: r.at, tally: left, before: r.before}
			} else {
				delete(reports, from)
			}
			h.replace(now, reporter{from, vmSums != nil}, r.tally, left, vmSums)
			h.replacePromises(r, report{}, vmSums != nil)
		}
		if r, ok := reports[from]; ok {
			h.nextExpiry = min(h.nextExpiry, r.expiry(h.window))
		}
	}
}

// LocalSum returns the sum of this data centre's VMs.
func (h *Hub) LocalSum(now time.Duration) Tally {
	h.expire(now)
	sum := Tally{
		VMs: h.local.vms, Loads: maps.Clone(h.local.loads), Counts: h.LocalCounts(now).Histories,
		Full: make(map[string]time.Duration), Rates: make(map[string]ratelimit.Report),
		Demand:   h.local.demand.Report(),
		Absent:   h.localAbsent(now),
		MostVMs:  h.mostVMs,
		Promises: h.localPromises.reports(now, report{}, promisedKeys(now, h.vms)),
	}
	for _, r := range h.vms {
		for id, span := range r.tally.Full {
			sum.Full[id] = max(sum.Full[id], span)
		}
		for id, rate := range r.tally.Rates {
			if known, ok := sum.Rates[id]; !ok || rate.ObservedAt > known.ObservedAt {
				sum.Rates[id] = rate
			}
		}
	}
	return sum
}

// SumExcept returns the sum of all VMs except the given one.
func (h *Hub) SumExcept(now time.Duration, vm string) Tally {
	sum := h.withoutLoads(now, vm)
	sum.Loads = maps.Clone(h.all.loads)
	for id, load := range h.vms[vm].tally.Loads {
		if rest := subtract(sum.Loads[id], load); rest != (backends.Usage{}) {
			sum.Loads[id] = rest
		} else {
			delete(sum.Loads, id)
		}
	}
	return sum
}

// withoutLoads returns the sum of all VMs except the given one, without the loads.
func (h *Hub) withoutLoads(now time.Duration, vm string) Tally {
	h.expire(now)
	own := h.vms[vm].tally
	sum := Tally{
		VMs: h.all.vms - own.VMs, Counts: h.countsExcept(now, vm), CountsUnknown: !h.KnowsCounts(now),
		Absent: h.absentCounts(now), OldestReportAge: h.oldestReportAge(now), MostVMs: h.mostVMs,
		Full: h.full.except(reporter{vm, true}.key()),
		// A VM's own report of a rate is no newer than what it knows, so it does no harm here.
		Rates:   h.rates.newest(),
		Overall: h.overall(now),
		// So it is with a VM's own keys.
		Promises: h.promises.reports(now, h.vms[vm], h.promisedKeys(now)),
	}
	return sum
}

// LoadVersions are the versions of a hub's loads that a VM has.
type LoadVersions struct {
	// Epoch identifies the hub; 0 if the VM has no loads.
	Epoch uint64
	// Local and Elsewhere are the versions of the loads of servers in the hub's data centre and of
	// the others.
	Local, Elsewhere uint64
}

// ServerLoad is the usage of a server.
type ServerLoad struct {
	ID    string
	Usage backends.Usage
}

// Update is a hub's answer to a VM.
type Update struct {
	// Others is the sum of all other VMs without their loads.
	Others Tally
	// Loads are the loads of all VMs, including the one that the answer is for. Unless Complete is
	// set they are only those that changed since the versions that the VM has. Those of servers
	// elsewhere are approximate.
	Loads    []ServerLoad
	Complete bool
	// Elsewhere is set if the loads include those of servers in other data centres.
	Elsewhere bool
	// Known is what the VM has after the update.
	Known LoadVersions
	// Demand is the demand for the VM to apply: of all services if DemandComplete is set, and otherwise
	// of those that are short of capacity.
	Demand         *demand.Overall
	DemandComplete bool
}

// Update returns what changed for a VM since its last update. elsewhere includes the servers of other
// data centres.
func (h *Hub) Update(now time.Duration, vm string, known LoadVersions, elsewhere bool) Update {
	update := Update{Others: h.withoutLoads(now, vm)}
	update.Loads, update.Complete, update.Known = h.log.since(known, elsewhere)
	update.Elsewhere = elsewhere || update.Complete
	update.Demand, update.DemandComplete = h.demand.short, update.Elsewhere
	if update.DemandComplete {
		update.Demand = h.demand.all
	}
	return update
}
