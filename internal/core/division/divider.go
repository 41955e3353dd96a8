package division

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// planTTL is how long a plan may be used after it was made, the lifetime of tallies. Without
	// newer ones all requests start at home.
	planTTL = 1500 * time.Millisecond
	// demandSmoothing is the time constant in which the demand follows its figures. The requests of
	// single seconds vary by chance, and an increase takes effect at once.
	demandSmoothing = time.Second
	// freeDecrease and freeIncrease are the time constants in which the free fraction of capacity
	// follows its figures. What is free in a second depends on choices by delayed loads and on the
	// plan itself, and swings while the demand is steady.
	freeDecrease = time.Second
	freeIncrease = 6 * time.Second
	// slotTimeSmoothing is the time constant of the time that a request holds a slot.
	slotTimeSmoothing = 5 * time.Second
)

// Demand is what the VMs of a data centre were offered of a service and started of it, in work per
// second.
type Demand struct{ Offered, Started float64 }

// ServiceCapacity is the capacity of a service by data centre. For a plain service it is in slots:
// how long a request takes isn't configured.
type ServiceCapacity struct {
	Sites map[string]Capacity
	Plain bool
}

// Observation is what a VM knows of all data centres.
type Observation struct {
	// Home is the VM's own data centre.
	Home string
	// Demand is by data centre and service. A data centre without current figures is missing.
	Demand map[string]map[string]Demand
	// Capacities are by service.
	Capacities  map[string]ServiceCapacity
	Unreachable []string
	Links       map[Route]Link
	// BytesPerWork is by service.
	BytesPerWork map[string]float64
}

// Change says that a service starts or stops to be divided for a VM's data centre.
type Change struct {
	Service string
	Divided bool
	// Shares are the fractions that other data centres start, and Sites the inputs.
	Shares []Share
	Sites  map[string]Site
}

// Divider makes the plans of one VM. The zero value draws the home data centre.
type Divider struct {
	plan    Plan
	madeAt  time.Duration
	planned bool
	// services are the inputs of the last plan.
	services map[string]Service
	// sites are its smoothed inputs.
	sites map[string]map[string]smoothedSite
	// slotSeconds is the time that a request of a plain service holds a slot.
	slotSeconds map[string]float64
}

// smoothedSite is the smoothed state of a service in a data centre. free is the free fraction of its
// capacity.
type smoothedSite struct {
	demand, free          float64
	demandKnown, hasTotal bool
}

// Enabled reports whether any service is divided: one whose engine is configured has servers in at
// least two data centres.
func Enabled(capacities map[string]ServiceCapacity) bool {
	for _, c := range capacities {
		if c.Plain {
			continue
		}
		withServers := 0
		for _, site := range c.Sites {
			if site.Total > 0 {
				withServers++
			}
		}
		if withServers >= 2 {
			return true
		}
	}
	return false
}

// Update makes a new plan and returns the services that start or stop to be divided for the home
// data centre, ordered by name.
func (d *Divider) Update(now time.Duration, seen Observation) []Change {
	elapsed := now - d.madeAt
	if !d.planned || elapsed > planTTL {
		elapsed, d.sites = 0, nil
	}
	before := d.plan
	if Enabled(seen.Capacities) {
		d.services = d.inputs(seen, elapsed)
	} else {
		d.services, d.sites = nil, nil
	}
	in := Input{Services: d.services, Unreachable: unreachableExcept(seen), Links: seen.Links, Elapsed: elapsed}
	if d.planned && now-d.madeAt <= planTTL {
		in.Previous = before
	}
	d.plan, d.madeAt, d.planned = Divide(in), now, true
	return changes(before, d.plan, seen.Home, d.services)
}

// unreachableExcept returns the unreachable data centres. The VM's own is always reachable.
func unreachableExcept(seen Observation) []string {
	return slices.DeleteFunc(slices.Clone(seen.Unreachable), func(name string) bool { return name == seen.Home })
}

// Draw returns the data centre in which a request of a VM in home is to start. u is uniformly
// distributed over [0, 1).
func (d *Divider) Draw(now time.Duration, service, home string, u float64) string {
	if !d.planned || now-d.madeAt > planTTL {
		return home
	}
	return d.plan.Draw(service, home, u)
}

// Shares returns the fractions of the home data centre's requests that others start now.
func (d *Divider) Shares(now time.Duration, service, home string) []Share {
	if !d.planned || now-d.madeAt > planTTL {
		return nil
	}
	return d.plan.Shares(service, home)
}

// Divides reports whether the last plan divides any service.
func (d *Divider) Divides() bool { return len(d.plan.shares) > 0 }

// Services returns the inputs of the last plan. They must not be changed.
func (d *Divider) Services() map[string]Service { return d.services }

// inputs returns the input of each service.
func (d *Divider) inputs(seen Observation, elapsed time.Duration) map[string]Service {
	smoothed := make(map[string]map[string]smoothedSite, len(seen.Capacities))
	services := make(map[string]Service, len(seen.Capacities))
	for name, c := range seen.Capacities {
		perSlot, ok := 1.0, true
		if c.Plain {
			perSlot, ok = d.workPerSlot(name, c, seen.Demand, elapsed)
		}
		if !ok {
			continue
		}
		smoothed[name] = make(map[string]smoothedSite, len(seen.Demand))
		sites := make(map[string]Site, len(c.Sites))
		for dataCentre, capacity := range c.Sites {
			sites[dataCentre] = Site{Capacity: Capacity{Total: perSlot * capacity.Total, Free: perSlot * capacity.Free}}
		}
		for dataCentre, demand := range seen.Demand {
			site := sites[dataCentre]
			site.Demand, site.DemandKnown = demand[name].Offered, true
			if site.Demand > 0 || site.Total > 0 {
				sites[dataCentre] = site
			}
		}
		for dataCentre, site := range sites {
			sites[dataCentre], smoothed[name][dataCentre] = smooth(site, d.sites[name][dataCentre], elapsed)
		}
		services[name] = Service{Sites: sites, BytesPerWork: seen.BytesPerWork[name]}
	}
	d.sites = smoothed
	return services
}

// smooth returns a site with smoothed demand and free capacity, and what is to be kept of it.
func smooth(site Site, before smoothedSite, elapsed time.Duration) (Site, smoothedSite) {
	now := smoothedSite{demand: site.Demand, demandKnown: site.DemandKnown, hasTotal: site.Total > 0}
	if now.demandKnown && before.demandKnown {
		now.demand = before.demand + (site.Demand-before.demand)*gain(elapsed, demandSmoothing)
	}
	if now.hasTotal {
		now.free = site.Free / site.Total
	}
	if now.hasTotal && before.hasTotal {
		constant := freeIncrease
		if now.free < before.free {
			constant = freeDecrease
		}
		now.free = before.free + (now.free-before.free)*gain(elapsed, constant)
	}
	site.Demand, site.Free = now.demand, now.free*site.Total
	return site, now
}

// gain is the weight of a new figure after elapsed.
func gain(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// workPerSlot returns the requests per second that a slot of a plain service serves, or false if
// that isn't known yet. It follows from the slots in use and the requests that start.
func (d *Divider) workPerSlot(service string, c ServiceCapacity, demand map[string]map[string]Demand, elapsed time.Duration) (float64, bool) {
	busy, started := 0.0, 0.0
	for _, site := range c.Sites {
		busy += site.Total - site.Free
	}
	for _, services := range demand {
		started += services[service].Started
	}
	if d.slotSeconds == nil {
		d.slotSeconds = make(map[string]float64)
	}
	before, known := d.slotSeconds[service]
	if busy > 0 && started > 0 {
		seconds := busy / started
		if known {
			seconds = before + (seconds-before)*gain(elapsed, slotTimeSmoothing)
		}
		d.slotSeconds[service], before, known = seconds, seconds, true
	}
	if !known {
		return 0, false
	}
	return 1 / before, true
}

// changes returns the services that start or stop to be divided for a data centre.
func changes(before, after Plan, home string, services map[string]Service) []Change {
	var list []Change
	note := func(service string, divided bool) {
		list = append(list, Change{Service: service, Divided: divided, Shares: after.Shares(service, home), Sites: services[service].Sites})
	}
	for service, homes := range before.shares {
		if len(homes[home]) > 0 && len(after.Shares(service, home)) == 0 {
			note(service, false)
		}
	}
	for service, homes := range after.shares {
		if len(homes[home]) > 0 && len(before.Shares(service, home)) == 0 {
			note(service, true)
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
