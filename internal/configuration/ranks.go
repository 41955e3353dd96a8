package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/peer"
)

// Number of VMs for each role that calls the platform. The counts do not grow with
// the fleet, so neither do the platform's calls.
const (
	// releaseWatchers is how many VMs of a data centre watch the release in the
	// platform. The others of the data centre get it from them.
	releaseWatchers = 2
	// acceptors is how many VMs watch the operators' records.
	acceptors = 3
)

// ranks is derived from the names and data centres of the known VMs. It is immutable.
type ranks struct {
	placements uint64
	// accept is this VM's rank among the acceptors.
	accept int
	// sweep is its rank among the VMs that delete old pages.
	sweep int
	// release is this VM's rank among the VMs of its data centre for getting releases,
	// and local has their names in that order.
	release int
	local   []string
	// watchers are the VMs that watch the release for other data centres.
	watchers []string
}

// ranks returns the ranks among the VMs known now. Sorting hundreds of VMs takes
// milliseconds and ranks are needed several times a second, so the result is cached
// until a VM joins, leaves or changes its data centre.
func (m *Manager) ranks() *ranks {
	m.ranksMu.Lock()
	defer m.ranksMu.Unlock()
	// Read before the members, so that a change in between is noticed by the next call.
	placements := m.directory.Placements()
	if m.cachedRanks == nil || m.cachedRanks.placements != placements {
		m.cachedRanks = newRanks(placements, m.directory.Members(), m.self)
	}
	return m.cachedRanks
}

func newRanks(placements uint64, members []peer.Member, self peer.Member) *ranks {
	local := rankMembers(within(members, self.DataCentre), roleRelease)
	return &ranks{
		placements: placements,
		accept:     rankOf(spreadByDataCentre(members, roleAccept), self.Name),
		sweep:      rankOf(rankMembers(members, roleSweep), self.Name),
		release:    rankOf(local, self.Name),
		local:      namesOf(local),
		watchers:   namesOf(otherWatchers(members, self.DataCentre)),
	}
}

// otherWatchers returns the VMs that watch the platform for other data centres.
func otherWatchers(members []peer.Member, dataCentre string) []peer.Member {
	byDataCentre := make(map[string][]peer.Member)
	for _, member := range members {
		byDataCentre[member.DataCentre] = append(byDataCentre[member.DataCentre], member)
	}
	var others []peer.Member
	for other, local := range byDataCentre {
		if other != dataCentre {
			order := rankMembers(local, roleRelease)
			others = append(others, order[:min(len(order), releaseWatchers)]...)
		}
	}
	return rankMembers(others, roleRelease)
}

func namesOf(members []peer.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

// rankMembers sorts VMs by their rank for a role. The order is the same on every VM
// that knows the same members. It differs between roles, so that no VM has them all.
func rankMembers(members []peer.Member, role string) []peer.Member {
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		weights[member.Name] = xxhash.Sum64String(role + "/" + member.Name)
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b peer.Member) int {
		return cmp.Or(cmp.Compare(weights[a.Name], weights[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return order
}

// spreadByDataCentre sorts VMs by their rank for a role so that the first ones are
// in different data centres: when one data centre is cut off, the next rank is not
// cut off with it.
func spreadByDataCentre(members []peer.Member, role string) []peer.Member {
	order := rankMembers(members, role)
	next := make(map[string]int)
	positions := make(map[string]int, len(order))
	for _, member := range order {
		positions[member.Name] = next[member.DataCentre]
		next[member.DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b peer.Member) int { return cmp.Compare(positions[a.Name], positions[b.Name]) })
	return order
}

// rankOf returns a VM's index in an order, or the order's length if it is missing.
func rankOf(order []peer.Member, name string) int {
	rank := slices.IndexFunc(order, func(m peer.Member) bool { return m.Name == name })
	if rank < 0 {
		return len(order)
	}
	return rank
}

// within returns the members of one data centre.
func within(members []peer.Member, dataCentre string) []peer.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m peer.Member) bool { return m.DataCentre != dataCentre })
}
