package edge

import (
	"sync"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
)

// membershipCache caches the live VMs and their ranks until the membership changes. Several
// periodic tasks use them, and ranking hundreds of VMs each time would take a small VM more
// processor time than its requests. It is safe for concurrent use.
type membershipCache struct {
	gossip     *gossip.Gossip
	directory  *peer.Directory
	dataCentre string

	mu   sync.Mutex
	view *membershipView
}

// membershipView is the membership at one time. Its lists are shared and must not be
// modified.
type membershipView struct {
	gossipVersion, directoryVersion uint64
	// live are the live VMs of all data centres that are not stopping, and local those of
	// this data centre, this VM included in both.
	live, local []lease.VM
	// vmCount is the number of VMs that are live or may be, this one and stopping ones
	// included.
	vmCount int

	mu sync.Mutex
	// ranks are the live or local VMs by the role for which they are ranked.
	ranks map[rankKey][]lease.VM
	// others are the names of the other live VMs, once they were asked for.
	others *otherNames
}

// otherNames are the names of the other live VMs of this data centre and of all others.
type otherNames struct{ local, remote []string }

type rankKey struct {
	role, home string
	localOnly  bool
}

// current returns the current membership.
func (c *membershipCache) current() *membershipView {
	c.mu.Lock()
	defer c.mu.Unlock()
	gossipVersion, directoryVersion := c.gossip.MembershipVersion(), c.directory.Version()
	if c.view != nil && c.view.gossipVersion == gossipVersion && c.view.directoryVersion == directoryVersion {
		return c.view
	}
	view := &membershipView{gossipVersion: gossipVersion, directoryVersion: directoryVersion, ranks: make(map[rankKey][]lease.VM)}
	for dataCentre, names := range c.gossip.LiveVMs() {
		view.vmCount += len(names)
		for _, name := range names {
			member, _ := c.directory.Member(name)
			if member.Leaving {
				continue
			}
			vm := lease.VM{Name: name, DataCentre: dataCentre, Cores: member.Cores}
			view.live = append(view.live, vm)
			if dataCentre == c.dataCentre {
				view.local = append(view.local, vm)
			}
		}
	}
	c.view = view
	return view
}

// rankAll returns the live VMs of all data centres in the order of their rank for a role.
func (v *membershipView) rankAll(role, home string) []lease.VM {
	return v.rank(rankKey{role: role, home: home}, v.live)
}

// rankLocal returns the live VMs of this data centre in the order of their rank for a role.
func (v *membershipView) rankLocal(role, home string) []lease.VM {
	return v.rank(rankKey{role: role, home: home, localOnly: true}, v.local)
}

// otherNames returns the names of the live VMs but self, of a data centre and of all others.
func (v *membershipView) otherNames(self, dataCentre string) (local, remote []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.others == nil {
		v.others = &otherNames{}
		for _, vm := range v.live {
			switch {
			case vm.Name == self:
			case vm.DataCentre == dataCentre:
				v.others.local = append(v.others.local, vm.Name)
			default:
				v.others.remote = append(v.others.remote, vm.Name)
			}
		}
	}
	return v.others.local, v.others.remote
}

func (v *membershipView) rank(key rankKey, vms []lease.VM) []lease.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	ranked, ok := v.ranks[key]
	if !ok {
		ranked = lease.Rank(key.role, key.home, vms)
		v.ranks[key] = ranked
	}
	return ranked
}

// rankedNames returns the names of the live VMs of this data centre in the order of their
// rank for a role.
func (v *membershipView) rankedNames(role, home string) []string {
	ranked := v.rankLocal(role, home)
	names := make([]string, len(ranked))
	for i, vm := range ranked {
		names[i] = vm.Name
	}
	return names
}
