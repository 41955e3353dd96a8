package tally

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/demand"
)

// overallInterval is how long a hub gives the same demand to all VMs. Computed for each answer it would
// take a hub of 200 VMs most of a core.
const overallInterval = 50 * time.Millisecond

// overallDemand is the demand of all VMs as of a time, and the part of it that is for services short of
// capacity.
type overallDemand struct {
	known      bool
	at         time.Duration
	all, short *demand.Overall
}

// overall returns the demand that reached all VMs, or nil without any.
func (h *Hub) overall(now time.Duration) *demand.Overall {
	if !h.demand.known || now-h.demand.at >= overallInterval {
		h.demand = overallDemand{known: true, at: now, all: h.sumOverall()}
		if h.demand.all != nil {
			h.demand.short = h.demand.all.Short()
		}
	}
	return h.demand.all
}

// sumOverall adds up the demand. A data centre that reports and has no requests is in the sum without
// rates, since others may send requests there.
func (h *Hub) sumOverall() *demand.Overall {
	counts := h.all.demand.Counts()
	if counts == nil {
		return nil
	}
	overall := &demand.Overall{Counts: counts, DataCentres: make(map[string]map[demand.Key]demand.Rate), Accounts: h.all.demand.ShortAccounts()}
	overall.DataCentres[h.dataCentre] = h.local.demand.Rates()
	for dataCentre, r := range h.remote {
		if r.loadsExpire {
			overall.DataCentres[dataCentre] = demand.Rates(r.tally.Demand.Counts)
		}
	}
	return overall
}
