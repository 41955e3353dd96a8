package tally

import "oleandershunt.example/oleandershunt/internal/core/demand"

// overall returns the demand that reached all VMs, or nil without any.
func (h *Hub) overall() *demand.Overall {
	counts := h.all.demand.Counts()
	if counts == nil {
		return nil
	}
	overall := &demand.Overall{Counts: counts, DataCentres: make(map[string]map[demand.Key]demand.Rate), Accounts: h.all.demand.ShortAccounts()}
	if rates := h.local.demand.Rates(); len(rates) > 0 {
		overall.DataCentres[h.dataCentre] = rates
	}
	for dataCentre, r := range h.remote {
		if rates := demand.Rates(r.tally.Demand.Counts); len(rates) > 0 {
			overall.DataCentres[dataCentre] = rates
		}
	}
	return overall
}
