package demand

import (
	"maps"
	"time"
)

// ViewLifetime is how long demand counts without an update.
const ViewLifetime = 1500 * time.Millisecond

// Short returns the part of the demand that is for services short of capacity, or nil without any.
func (o *Overall) Short() *Overall {
	short := make(map[string]bool)
	for service, counts := range Totals(o.Counts) {
		if counts.Short() {
			short[service] = true
		}
	}
	if len(short) == 0 {
		return nil
	}
	return o.filter(func(service string) bool { return short[service] })
}

// filter returns the part of the demand for some services. It names all data centres that report.
func (o *Overall) filter(keep func(service string) bool) *Overall {
	part := &Overall{Counts: maps.Clone(o.Counts), Accounts: maps.Clone(o.Accounts), DataCentres: make(map[string]map[Key]Rate, len(o.DataCentres))}
	maps.DeleteFunc(part.Counts, func(key Key, _ Counts) bool { return !keep(key.Service) })
	maps.DeleteFunc(part.Accounts, func(service string, _ Summary) bool { return !keep(service) })
	for dataCentre, rates := range o.DataCentres {
		rates = maps.Clone(rates)
		maps.DeleteFunc(rates, func(key Key, _ Rate) bool { return !keep(key.Service) })
		part.DataCentres[dataCentre] = rates
	}
	return part
}

// View is what a VM knows of the demand of all VMs by the updates of its hub.
type View struct {
	overall    *Overall
	completeAt time.Duration
}

// Apply applies an update, nil without demand, and returns what is known then. An update that isn't
// complete has all that is known of some services.
func (v *View) Apply(now time.Duration, update *Overall, complete bool) *Overall {
	if complete {
		v.overall, v.completeAt = update, now
		return update
	}
	if v.overall == nil || now-v.completeAt > ViewLifetime {
		return update
	}
	if update == nil {
		return v.overall
	}
	updated := Totals(update.Counts)
	merged := v.overall.filter(func(service string) bool {
		_, replaced := updated[service]
		return !replaced
	})
	maps.Copy(merged.Counts, update.Counts)
	if merged.Accounts == nil {
		merged.Accounts = make(map[string]Summary)
	}
	maps.Copy(merged.Accounts, update.Accounts)
	for dataCentre, rates := range update.DataCentres {
		if merged.DataCentres[dataCentre] == nil {
			merged.DataCentres[dataCentre] = make(map[Key]Rate)
		}
		maps.Copy(merged.DataCentres[dataCentre], rates)
	}
	v.overall = merged
	return merged
}
