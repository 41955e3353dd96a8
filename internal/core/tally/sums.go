package tally

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// sums are running sums of reports.
type sums struct {
	vms    int
	loads  map[string]backends.Usage
	counts timelines
	// absent are the counts of reports that have expired, which counts includes.
	absent timelines
	demand *demand.Sums
}

func newSums() sums {
	return sums{loads: make(map[string]backends.Usage), counts: make(timelines), absent: make(timelines), demand: demand.NewSums()}
}

// replace takes a report off the sums and adds another one, except for the counts. It returns the
// servers whose sum changed.
func (s *sums) replace(before, after Tally) (changed []string) {
	s.vms += after.VMs - before.VMs
	s.demand.Replace(before.Demand, after.Demand)
	for id, load := range before.Loads {
		if next := after.Loads[id]; next != load {
			s.addLoad(id, subtract(next, load))
			changed = append(changed, id)
		}
	}
	for id, load := range after.Loads {
		if _, had := before.Loads[id]; !had {
			s.addLoad(id, load)
			changed = append(changed, id)
		}
	}
	return changed
}

func (s *sums) addLoad(id string, load backends.Usage) {
	if sum := s.loads[id].Add(load); sum != (backends.Usage{}) {
		s.loads[id] = sum
	} else {
		delete(s.loads, id)
	}
}

// fullServers are the servers that are reported as full.
type fullServers map[string]*fullReports

// fullReports are the reports on one server: how long each reporter treats it as full, the longest
// time and the longest one of the others.
type fullReports struct {
	by              map[string]time.Duration
	longest, second time.Duration
	from            string
}

func (f fullServers) put(from, id string, span time.Duration) {
	reports, ok := f[id]
	if !ok {
		reports = &fullReports{by: make(map[string]time.Duration)}
		f[id] = reports
	}
	if known, ok := reports.by[from]; !ok || known != span {
		reports.by[from] = span
		reports.rank()
	}
}

func (f fullServers) remove(from, id string) {
	reports, ok := f[id]
	if !ok {
		return
	}
	if delete(reports.by, from); len(reports.by) == 0 {
		delete(f, id)
		return
	}
	reports.rank()
}

func (r *fullReports) rank() {
	r.longest, r.second, r.from = 0, 0, ""
	for from, span := range r.by {
		if span > r.longest || r.from == "" {
			r.longest, r.second, r.from = span, r.longest, from
		} else {
			r.second = max(r.second, span)
		}
	}
}

// except returns the full servers with the longest time that anyone but one reporter states.
func (f fullServers) except(reporter string) map[string]time.Duration {
	full := make(map[string]time.Duration, len(f))
	for id, reports := range f {
		switch {
		case reports.from != reporter:
			full[id] = reports.longest
		case len(reports.by) > 1:
			full[id] = reports.second
		}
	}
	return full
}

// rateReports are the reports of VMs and data centres on the request rates of servers, by server.
type rateReports map[string]*serverRate

// serverRate is the reports on one server, by reporter, and the newest of them with its reporter.
type serverRate struct {
	by     map[string]ratelimit.Report
	newest ratelimit.Report
	from   string
}

func (r rateReports) put(from, id string, report ratelimit.Report) {
	rate, ok := r[id]
	if !ok {
		rate = &serverRate{by: make(map[string]ratelimit.Report)}
		r[id] = rate
	}
	rate.by[from] = report
	if rate.from == from && report.ObservedAt < rate.newest.ObservedAt {
		rate.findNewest()
	} else if rate.from == "" || report.ObservedAt >= rate.newest.ObservedAt {
		rate.newest, rate.from = report, from
	}
}

func (r rateReports) remove(from, id string) {
	rate, ok := r[id]
	if !ok {
		return
	}
	if delete(rate.by, from); len(rate.by) == 0 {
		delete(r, id)
	} else if rate.from == from {
		rate.findNewest()
	}
}

func (r *serverRate) findNewest() {
	r.from = ""
	for from, report := range r.by {
		if r.from == "" || report.ObservedAt > r.newest.ObservedAt {
			r.newest, r.from = report, from
		}
	}
}

// newest returns the newest report of each server.
func (r rateReports) newest() map[string]ratelimit.Report {
	rates := make(map[string]ratelimit.Report, len(r))
	for id, rate := range r {
		rates[id] = rate.newest
	}
	return rates
}
