package division

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// transport is the transportation problem of one service: the excess of some data centres is to be
// sent to the free capacity of others.
type transport struct {
	names        []string
	demand       []float64
	excess, room []float64
	// pairs are the possible directions, ordered by cost.
	pairs []pair
	// flow is the work sent from one data centre to another, by the index of the first times their
	// number plus that of the second.
	flow []float64
	// bytesPerWork is the number of bytes that a unit of work sends over a link.
	bytesPerWork float64
}

// pair is a direction in which work can be sent, by the indices of the data centres.
type pair struct {
	from, to int
	cost     float64
}

func newTransport(in Input, name string, service Service) *transport {
	t := &transport{names: make([]string, 0, len(service.Sites)), bytesPerWork: service.BytesPerWork}
	for _, dataCentre := range slices.Sorted(maps.Keys(service.Sites)) {
		if !slices.Contains(in.Unreachable, dataCentre) {
			t.names = append(t.names, dataCentre)
		}
	}
	inbound := inboundWork(in.Previous.shares[name], service.Sites)
	n := len(t.names)
	t.demand, t.excess, t.room, t.flow = make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n*n)
	for i, dataCentre := range t.names {
		site := service.Sites[dataCentre]
		t.demand[i], t.excess[i], t.room[i] = site.Demand, excess(site), room(site, inbound[dataCentre])
	}
	t.addPairs(in.Links)
	return t
}

// inboundWork returns the work that a plan sends to each data centre.
func inboundWork(shares map[string][]Share, sites map[string]Site) map[string]float64 {
	inbound := make(map[string]float64, len(sites))
	for home, list := range shares {
		for _, share := range list {
			inbound[share.DataCentre] += share.Fraction * sites[home].Demand
		}
	}
	return inbound
}

func (t *transport) addPairs(links map[Route]Link) {
	senders, receivers := countPositive(t.excess), countPositive(t.room)
	t.pairs = make([]pair, 0, senders*receivers)
	for from, source := range t.names {
		for to, target := range t.names {
			if t.excess[from] > 0 && t.room[to] > 0 && from != to {
				t.pairs = append(t.pairs, pair{from: from, to: to, cost: t.bytesPerWork * links[Route{From: source, To: target}].ByteCost})
			}
		}
	}
	slices.SortStableFunc(t.pairs, func(a, b pair) int { return cmp.Compare(a.cost, b.cost) })
}

func countPositive(list []float64) (count int) {
	for _, value := range list {
		if value > 0 {
			count++
		}
	}
	return count
}

// proportionalRounds is how often work is distributed over the directions of one cost. The first
// round leaves some over where a room or a link is exhausted while others aren't.
const proportionalRounds = 3

// solve distributes the excess greedily: over the directions with the lowest cost first, and over
// those of the same cost in proportion to the free capacity. All figures of the plan then change
// steadily with the input.
func (t *transport) solve(links *linkCapacity) {
	for rest := t.pairs; len(rest) > 0; {
		equal := 1
		for equal < len(rest) && rest[equal].cost == rest[0].cost {
			equal++
		}
		for range proportionalRounds {
			t.distribute(rest[:equal], links)
		}
		rest = rest[equal:]
	}
}

// distribute sends the remaining excess over directions of the same cost, each data centre's in
// proportion to the rooms that it reaches, and no more than those can take.
func (t *transport) distribute(pairs []pair, links *linkCapacity) {
	n := len(t.names)
	buffer := make([]float64, 2*n+len(pairs))
	reached, wanted, sent := buffer[:n], buffer[n:2*n], buffer[2*n:]
	for _, p := range pairs {
		reached[p.from] += t.room[p.to]
	}
	want := func(p pair) float64 {
		if reached[p.from] <= 0 {
			return 0
		}
		return t.excess[p.from] * t.room[p.to] / reached[p.from]
	}
	for _, p := range pairs {
		wanted[p.to] += want(p)
	}
	for i, p := range pairs {
		if wanted[p.to] > 0 {
			sent[i] = links.take(Route{From: t.names[p.from], To: t.names[p.to]}, want(p)*min(1, t.room[p.to]/wanted[p.to]), t.bytesPerWork)
		}
	}
	for i, p := range pairs {
		t.flow[p.from*len(t.names)+p.to] += sent[i]
		t.excess[p.from] = max(t.excess[p.from]-sent[i], 0)
		t.room[p.to] = max(t.room[p.to]-sent[i], 0)
	}
}

// shares returns the fractions for the flow. Those of the previous plan decrease slowly.
func (t *transport) shares(previous map[string][]Share, elapsed time.Duration) map[string][]Share {
	decrease := maxDecrease * elapsed.Seconds()
	result := make(map[string][]Share)
	for from, home := range t.names {
		aims, aim := t.flow[from*len(t.names):(from+1)*len(t.names)], 0.0
		for to := range aims {
			if t.demand[from] > 0 {
				aims[to] /= t.demand[from]
			}
			aim += aims[to]
		}
		if aim == 0 && len(previous[home]) == 0 {
			continue
		}
		if list := t.limitDecrease(aims, aim, previous[home], decrease); len(list) > 0 {
			result[home] = list
		}
	}
	return result
}

// limitDecrease returns the fractions of one data centre: those aimed at, except that neither one
// of them nor their sum is lower than before by more than decrease. Data centres that were removed
// from the plan get nothing at once.
func (t *transport) limitDecrease(aims []float64, aim float64, previous []Share, decrease float64) []Share {
	before := 0.0
	for _, share := range previous {
		if to, found := slices.BinarySearch(t.names, share.DataCentre); found {
			aims[to] = max(aims[to], share.Fraction-decrease)
			before += share.Fraction
		}
	}
	sum, used := 0.0, 0
	for _, fraction := range aims {
		sum += fraction
		if fraction > 0 {
			used++
		}
	}
	limit := min(max(aim, before-decrease), 1)
	list := make([]Share, 0, used)
	for to, fraction := range aims {
		if sum > limit {
			fraction *= limit / sum
		}
		if fraction >= minFraction {
			list = append(list, Share{DataCentre: t.names[to], Fraction: fraction})
		}
	}
	return list
}

// linkCapacity is what is left of the links for the services that are still to be divided.
type linkCapacity struct {
	links map[Route]Link
	used  map[Route]float64
}

func newLinkCapacity(links map[Route]Link) *linkCapacity {
	return &linkCapacity{links: links, used: make(map[Route]float64)}
}

// bytesPerMbit is the number of bytes in a Mbit.
const bytesPerMbit = 125_000

// take returns how much of the work fits on a link, and takes it off the link's capacity.
func (l *linkCapacity) take(route Route, work, bytesPerWork float64) float64 {
	if len(l.links) == 0 || bytesPerWork <= 0 {
		return work
	}
	link := l.links[route]
	if link.Mbps <= 0 {
		return work
	}
	work = max(min(work, (link.Mbps*bytesPerMbit-l.used[route])/bytesPerWork), 0)
	l.used[route] += work * bytesPerWork
	return work
}
