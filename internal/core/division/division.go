// Package division distributes the requests of services over data centres. Demand that fits in the
// data centre where it arrives stays there, and the excess goes where capacity is free. The package
// does no I/O and reads no clock. Its types are not safe for concurrent use.
package division

import (
	"maps"
	"slices"
	"time"
)

// Site is the state of one service in one data centre. Quantities are in work per second: tokens of
// responses plus an eighth of those of prompts, or requests of a plain service.
type Site struct {
	// Demand is the work that callers offer to the VMs of the data centre. It doesn't depend on
	// where the work is done, so a plan has no effect on the demand that it was made for.
	Demand float64
	// DemandKnown is unset if there is no current figure of the data centre's VMs.
	DemandKnown bool
	Capacity
}

// Capacity is the work that the servers of a data centre can take.
type Capacity struct {
	Total float64
	// Free is the part of Total that isn't in use.
	Free float64
}

// Route is the direction of a link between two data centres.
type Route struct{ From, To string }

// Link is what is known of the link between two data centres.
type Link struct {
	// Mbps is the rate in Mbit/s that may be used for divided requests. 0 means unlimited.
	Mbps float64
	// ByteCost is the relative cost of a byte.
	ByteCost float64
}

// Service is the input for one service.
type Service struct {
	// Sites are the data centres by name.
	Sites map[string]Site
	// BytesPerWork is the number of bytes that a unit of work sends over a link.
	BytesPerWork float64
}

// Input is what a plan is made from.
type Input struct {
	Services map[string]Service
	// Unreachable lists the data centres that can't be reached.
	Unreachable []string
	// Links are the known links. One that isn't listed has no limit and no cost.
	Links map[Route]Link
	// Previous is the plan in force, and Elapsed the time since it was made.
	Previous Plan
	Elapsed  time.Duration
}

// Share is the fraction of a data centre's requests that another one starts.
type Share struct {
	DataCentre string
	Fraction   float64
}

// Plan says which data centres start the requests of each service. The zero value keeps all
// requests in the data centre where they arrive.
type Plan struct {
	// shares are by service and home data centre, ordered by name.
	shares map[string]map[string][]Share
}

// Shares returns the fractions of a data centre's requests that other data centres start. The rest
// starts at home.
func (p *Plan) Shares(service, home string) []Share { return p.shares[service][home] }

// Draw returns the data centre in which a request is to start. u is uniformly distributed over
// [0, 1).
func (p *Plan) Draw(service, home string, u float64) string {
	for _, share := range p.shares[service][home] {
		if u < share.Fraction {
			return share.DataCentre
		}
		u -= share.Fraction
	}
	return home
}

const (
	// usableFraction is the fraction of its capacity up to which a data centre is planned to be
	// used. Requests arrive in random order, and at full use queues grow without bound.
	usableFraction = 0.9
	// amplyFree and scarcelyFree are fractions of free capacity. Above the first a data centre
	// keeps all of its demand, whatever its capacity is calculated to be, and below the second the
	// calculated excess counts in full. In between it counts in proportion, because a threshold
	// would make the division start and stop with the delay of the loads.
	amplyFree, scarcelyFree = 0.6, 0.2
	// maxDecrease is how much the divided fraction may decrease in a second. The work that was sent
	// away before still runs there, and the free capacity at home is known late.
	maxDecrease = 0.25
	// minFraction is the smallest fraction that is divided.
	minFraction = 0.005
)

// Divide returns the plan for an input. The result is the same on all VMs with the same input.
func Divide(in Input) Plan {
	plan := Plan{shares: make(map[string]map[string][]Share)}
	capacity := newLinkCapacity(in.Links)
	for _, name := range slices.Sorted(maps.Keys(in.Services)) {
		service := in.Services[name]
		if !isDivisible(service) && len(in.Previous.shares[name]) == 0 {
			continue
		}
		t := newTransport(in, name, service)
		t.solve(capacity)
		if shares := t.shares(in.Previous.shares[name], in.Elapsed); len(shares) > 0 {
			plan.shares[name] = shares
		}
	}
	return plan
}

// isDivisible reports whether the demand of a data centre exceeds its capacity.
func isDivisible(service Service) bool {
	for _, site := range service.Sites {
		if excess(site) > 0 {
			return true
		}
	}
	return false
}

// excess returns the demand that a data centre can't serve. Without servers that is all of it.
func excess(site Site) float64 {
	if !site.DemandKnown {
		return 0
	}
	over := max(site.Demand-usableFraction*site.Total, 0)
	if over == 0 || site.Total == 0 {
		return over
	}
	scarcity := (amplyFree - site.Free/site.Total) / (amplyFree - scarcelyFree)
	return over * min(max(scarcity, 0), 1)
}

// room returns the work that a data centre can take from others. inbound is what the plan in force
// sends there: it isn't counted as free but may stay there.
func room(site Site, inbound float64) float64 {
	if !site.DemandKnown {
		return 0
	}
	return max(min(usableFraction*site.Total-site.Demand, site.Free+inbound), 0)
}
