package tally

import "oleandershunt.example/oleandershunt/internal/core/demand"

// overall returns the demand that reached all VMs, or nil without any. A data centre that reports and
// has no requests is in it without rates, since others may send requests there.
func (h *Hub) overall() *demand.Overall {
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
