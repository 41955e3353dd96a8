// Package tally adds up what the VMs of a deployment put on backend servers, and how
// often they repeat requests: each VM tells one of its data centre, the hub, and hears
// the sum of all others; hubs tell one another the sums of their data centres. It does no
// I/O and reads no clock; its methods must not be called at the same time.
//
// What it gains: with words from each VM to all, what a VM hears grows with the VMs, so
// each of many can tell its loads only seldom, all know next to nothing of one another, and
// servers refuse for want of room what others would take.
package tally

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// The figures of a hub.
const (
	// Fresh is how long a report counts as a VM's after it came: three tellings. A VM that
	// is gone has lost its requests.
	Fresh = 750 * time.Millisecond
	// CountsKept is how long its repeats still count: in the window of the budget they
	// were made, whatever became of the VM.
	CountsKept = 10 * time.Second
)

// Tally is what some VMs have.
type Tally struct {
	// VMs is how many they are.
	VMs int
	// Loads are what their requests take, by server.
	Loads map[string]backends.Usage
	// Counts are their requests and repeats, by service.
	Counts map[string]budget.Count
	// Full are the servers that refused one of their requests for want of room a moment
	// ago, and how long they are held to be full.
	Full map[string]time.Duration
	// Rates are the request rates that servers set, the newest word on each.
	Rates map[string]ratelimit.Word
}

func empty() Tally {
	return Tally{Loads: make(map[string]backends.Usage), Counts: make(map[string]budget.Count), Full: make(map[string]time.Duration), Rates: make(map[string]ratelimit.Word)}
}

func (t *Tally) add(other Tally) {
	t.VMs += other.VMs
	for id, load := range other.Loads {
		t.Loads[id] = t.Loads[id].Plus(load)
	}
	for service, count := range other.Counts {
		sum := t.Counts[service]
		sum.Requests += count.Requests
		sum.Repeats += count.Repeats
		t.Counts[service] = sum
	}
	for id, span := range other.Full {
		t.Full[id] = max(t.Full[id], span)
	}
	for id, word := range other.Rates {
		if known, ok := t.Rates[id]; !ok || word.At > known.At {
			t.Rates[id] = word
		}
	}
}

// report is what was told, and when.
type report struct {
	at    time.Duration
	tally Tally
}

// still is what a report stands for now.
func (r report) still(now time.Duration) Tally {
	if now-r.at <= Fresh {
		return r.tally
	}
	return Tally{Counts: r.tally.Counts}
}

// Hub adds up the reports of its data centre's VMs and of other data centres.
type Hub struct {
	dataCentre string
	vms, far   map[string]report
}

// NewHub makes a hub of a data centre that has heard nothing.
func NewHub(dataCentre string) *Hub {
	return &Hub{dataCentre: dataCentre, vms: make(map[string]report), far: make(map[string]report)}
}

// Report takes a VM's own tally.
func (h *Hub) Report(now time.Duration, vm string, tally Tally) { h.vms[vm] = report{now, tally} }

// ReportFar takes the sum of another data centre.
func (h *Hub) ReportFar(now time.Duration, dataCentre string, tally Tally) {
	if dataCentre != h.dataCentre {
		h.far[dataCentre] = report{now, tally}
	}
}

// Near is the sum of this data centre's VMs, but for one of them; empty leaves out none.
func (h *Hub) Near(now time.Duration, but string) Tally {
	sum := empty()
	sum.addReports(now, h.vms, but)
	return sum
}

// Others is the sum of all VMs but one.
func (h *Hub) Others(now time.Duration, but string) Tally {
	sum := h.Near(now, but)
	sum.addReports(now, h.far, "")
	return sum
}

// addReports adds what reports stand for, but for one of them, and drops those that stand
// for nothing any more.
func (t *Tally) addReports(now time.Duration, reports map[string]report, but string) {
	for from, said := range reports {
		if now-said.at > CountsKept {
			delete(reports, from)
		} else if from != but {
			t.add(said.still(now))
		}
	}
}
