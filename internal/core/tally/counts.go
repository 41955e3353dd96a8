package tally

import (
	"maps"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/budget"
)

// Serve records that VMs use this hub now. When it begins to serve it knows only what VMs report that
// still run, until it inherits counts from before or a window has passed. After a break it knows what
// it knew before, and VMs that used another hub meanwhile pass on what that one knew.
func (h *Hub) Serve(now time.Duration) {
	if h.servedAt == 0 || now-h.servedAt > idlePeriod {
		h.inherited = Counts{}
		if h.servedAt > 0 && now-h.servedAt < h.window && h.KnowsCounts(h.servedAt) {
			h.inherited.At = h.servedAt
		}
		h.servingSince = now
		if now < h.nothingBeforeUntil {
			h.servingSince = now - h.window
		}
	}
	h.servedAt = now
}

// SetFirstStart says that all VMs of the deployment started for the first time now.
func (h *Hub) SetFirstStart(now time.Duration) { h.nothingBeforeUntil = now + h.window }

// KnowsCounts reports whether the counts include what VMs did in the last window that have ended
// since.
func (h *Hub) KnowsCounts(now time.Duration) bool {
	served := now - h.servingSince
	return served >= h.window || h.inherited.At > 0 && served >= inheritPeriod
}

// Inherit gives the hub the counts of its data centre's VMs as another VM or hub knew them. They
// matter until the hub has served for a window. Of several, those are kept by which more retries
// were made.
func (h *Hub) Inherit(now time.Duration, counts Counts) {
	if counts.At == 0 || now-h.servingSince >= h.window || now-counts.At >= h.window {
		return
	}
	h.expire(now)
	if h.inherited.At == 0 || retries(h.lacking(now, counts)) > retries(h.lacking(now, h.inherited)) {
		h.inherited = counts
	}
}

func retries(counts map[string]budget.History) (sum int) {
	for _, history := range counts {
		sum += history.Total().Retries
	}
	return sum
}

// lacking returns what the reports of this data centre's VMs lack of inherited counts.
func (h *Hub) lacking(now time.Duration, inherited Counts) map[string]budget.History {
	if !h.isRecent(now, inherited) {
		return nil
	}
	return h.missing(now, h.local.counts.histories(h.bucket(now)), inherited)
}

// LocalCounts returns the counts of this data centre's VMs, of those too that have ended.
func (h *Hub) LocalCounts(now time.Duration) Counts {
	h.expire(now)
	local := h.local.counts.histories(h.bucket(now))
	return Counts{At: now, Histories: Add(local, h.missing(now, local, h.inherited))}
}

// RemoteCounts returns the counts of another data centre's VMs as an earlier process of its hub
// reported them, for the given process to inherit. There are none if this hub doesn't know what was
// before either.
func (h *Hub) RemoteCounts(now time.Duration, dataCentre string, process uint64) Counts {
	remote, ok := h.remote[dataCentre]
	if !ok || !h.KnowsCounts(now) || remote.tally.Process == process && remote.before.At == 0 {
		return Counts{}
	}
	return Counts{At: remote.at, Histories: remote.tally.Counts}
}

// countsExcept returns the counts of all VMs except the given one's process.
func (h *Hub) countsExcept(now time.Duration, vm string) map[string]budget.History {
	counts := Add(h.all.counts.histories(h.bucket(now)), h.lacking(now, h.inherited))
	own := h.vms[vm]
	later := h.bucket(now) - h.bucket(own.at)
	for service, history := range own.tally.Counts {
		rest := counts[service]
		for age, count := range aged(history, later) {
			rest[age] = rest[age].Subtract(count)
		}
		if rest == (budget.History{}) {
			delete(counts, service)
		} else {
			counts[service] = rest
		}
	}
	return counts
}

// localAbsent returns, of the counts of this data centre, those of VMs that don't report to this hub now. It
// can't know whether they have ended.
func (h *Hub) localAbsent(now time.Duration) map[string]budget.Count {
	return h.absentIn(now, h.local)
}

// absentCounts returns the same of all data centres.
func (h *Hub) absentCounts(now time.Duration) map[string]budget.Count {
	absent := h.absentIn(now, h.all)
	for _, r := range h.remote {
		if r.loadsExpire {
			absent = addTotals(absent, r.tally.Absent)
		}
	}
	return absent
}

// absentIn returns the counts of expired reports in sums, and those that were inherited and no report has.
func (h *Hub) absentIn(now time.Duration, of sums) map[string]budget.Count {
	return addTotals(budget.Totals(h.lacking(now, h.inherited)), budget.Totals(of.absent.histories(h.bucket(now))))
}

// addTotals adds counts to a sum, which may be nil, and returns it; nil if there are none.
func addTotals(sum, more map[string]budget.Count) map[string]budget.Count {
	switch {
	case len(more) == 0 && len(sum) == 0:
		return nil
	case len(sum) == 0:
		return maps.Clone(more)
	}
	for service, count := range more {
		sum[service] = sum[service].Add(count)
	}
	return sum
}

// oldestReportAge returns the age of the oldest report of those that have not expired.
func (h *Hub) oldestReportAge(now time.Duration) time.Duration {
	if now-h.oldestFoundAt >= oldestReportReuse || h.oldestFoundAt == 0 {
		h.oldestReportAt, h.oldestFoundAt = now, now
		for _, reports := range []map[string]report{h.vms, h.remote} {
			for _, r := range reports {
				if r.loadsExpire {
					h.oldestReportAt = min(h.oldestReportAt, r.at)
				}
			}
		}
	}
	return now - h.oldestReportAt
}

// isRecent reports whether some of what is known is of the last window.
func (h *Hub) isRecent(now time.Duration, known Counts) bool {
	return len(known.Histories) > 0 && h.bucket(now)-h.bucket(known.At) < budget.HistoryLength
}

// missing returns what counts as of now lack of counts that were known before.
func (h *Hub) missing(now time.Duration, counts map[string]budget.History, known Counts) map[string]budget.History {
	if !h.isRecent(now, known) {
		return nil
	}
	buckets := h.bucket(now) - h.bucket(known.At)
	lacking := make(map[string]budget.History, len(known.Histories))
	for service, history := range known.Histories {
		if rest := missing(aged(history, buckets), counts[service], buckets); rest != (budget.History{}) {
			lacking[service] = rest
		}
	}
	return lacking
}
