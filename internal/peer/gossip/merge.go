package gossip

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/peer"
)

// merge applies deltas from another VM. It must be called with the lock held;
// the caller must call runCallbacks after releasing the lock.
func (g *Gossip) merge(deltas []digest.Delta) {
	merged := g.store.Merge(deltas)
	now := g.options.Now()
	if merged.ConflictingIncarnation != 0 {
		// An earlier process of this VM had a higher incarnation, for example
		// because the clock was set back. Use a higher one than that, so that
		// the other VMs take this process as the newer.
		g.store.SetIncarnation(merged.ConflictingIncarnation + 1)
	}
	for _, origin := range merged.Replaced {
		// The state of the earlier process is void; report it as gone.
		g.options.Directory.Remove(origin.Name)
		g.announceVM(fleet.VMStatus{Name: origin.Name, DataCentre: origin.DataCentre, State: fleet.Gone, Since: now})
	}
	for _, origin := range merged.Joined {
		g.vms.Add(now, origin.Name, origin.DataCentre)
	}
	for _, name := range merged.Heartbeats {
		g.vms.RecordContact(now, name)
	}
	for _, change := range merged.Changes {
		g.mergeChange(change)
	}
	g.announceGauges(merged.Gauges)
}

func (g *Gossip) mergeChange(change digest.Change) {
	vm := change.Origin.Name
	switch {
	case change.Stream == digest.Local && change.Key == keyRelease:
		release, _ := binary.Uvarint(change.Value)
		g.recordRelease(vm, release)
		return
	case change.Stream == digest.Local:
		return
	case change.Key == keyRelease:
		g.mergeSummary(change)
		return
	}
	g.vms.RecordContact(g.options.Now(), vm)
	switch {
	case change.Key == keyMember:
		g.mergeMember(change)
	case strings.HasPrefix(change.Key, prefixDownReport):
		g.vms.SetDownReport(vm, strings.TrimPrefix(change.Key, prefixDownReport), len(change.Value) > 0)
	case change.Key != keyRemoteHeartbeat:
		g.announceEntry(vm, change.Key, change.Value)
		g.push(entryRef{vm, change.Key})
	}
}

func (g *Gossip) mergeMember(change digest.Change) {
	member, ok := decodeMember(change)
	if !ok {
		return
	}
	g.vms.SetLeaving(member.Name, member.Leaving, member.State == fleet.Gone)
	if member.State == fleet.Gone {
		g.options.Directory.Remove(member.Name)
		g.updateVMStates()
		return
	}
	g.addToDirectory(member)
}

// recordRelease records the release in force on a VM. An older report that arrives
// later by another path has no effect.
func (g *Gossip) recordRelease(vm string, release uint64) {
	g.options.Directory.Change(vm, func(m *peer.Member) { m.Release = max(m.Release, release) })
}

// addToDirectory adds a VM to the directory, and keeps a release that is already known.
func (g *Gossip) addToDirectory(member peer.Member) {
	if known, ok := g.options.Directory.Member(member.Name); ok && known.Incarnation == member.Incarnation {
		member.Release = known.Release
	}
	if value, ok := g.store.Entry(member.Name, digest.Local, keyRelease); ok {
		release, _ := binary.Uvarint(value)
		member.Release = max(member.Release, release)
	}
	member.State = g.vms.State(member.Name)
	g.options.Directory.Put(member)
}

func decodeMember(change digest.Change) (peer.Member, bool) {
	var member peer.Member
	if json.Unmarshal(change.Value, &member) != nil || member.Name != change.Origin.Name {
		return member, false
	}
	member.DataCentre = change.Origin.DataCentre
	return member, true
}

// updateVMStates updates the failure detection of the other VMs.
func (g *Gossip) updateVMStates() {
	now := g.options.Now()
	for _, vm := range g.vms.Tick(now) {
		g.vmStateChanged(vm)
	}
	for _, name := range g.vms.RemoveExpired(now) {
		g.store.Forget(name)
		delete(g.sameOrigins, name)
		g.put(prefixDownReport+name, nil, false)
	}
}

func (g *Gossip) vmStateChanged(vm fleet.VMStatus) {
	down := vm.State == fleet.Suspect || vm.State == fleet.Gone
	if vm.DataCentre == g.self.DataCentre && g.observes(vm.Name) {
		value := []byte{}
		if down {
			value = []byte{1}
		}
		g.put(prefixDownReport+vm.Name, value, vm.State == fleet.Gone)
	}
	if vm.State == fleet.Gone {
		g.options.Directory.Remove(vm.Name)
	} else {
		g.updateDirectory(vm)
	}
	g.announceVM(vm)
}

// updateDirectory updates the state of a VM in the directory. A VM that was gone is
// added again and its entries are announced again, because the subscribers
// discarded them when it was gone.
func (g *Gossip) updateDirectory(vm fleet.VMStatus) {
	_, listed := g.options.Directory.Member(vm.Name)
	if listed {
		g.options.Directory.Change(vm.Name, func(m *peer.Member) { m.State = vm.State })
		return
	}
	for _, change := range g.store.Changes(vm.Name) {
		switch change.Key {
		case keyMember:
			if member, ok := decodeMember(change); ok {
				g.addToDirectory(member)
			}
		case keyRemoteHeartbeat, keyRelease:
		default:
			g.announceEntry(vm.Name, change.Key, change.Value)
		}
	}
}

// observes reports whether this VM is one of the observers of another VM on
// behalf of other data centres.
func (g *Gossip) observes(name string) bool {
	live := []string{g.self.Name}
	for _, vm := range g.vms.Statuses() {
		if vm.DataCentre == g.self.DataCentre && vm.State == fleet.Live && vm.Name != name {
			live = append(live, vm.Name)
		}
	}
	for _, observer := range fleet.Observers(name, live, observersPerVM) {
		if observer == g.self.Name {
			return true
		}
	}
	return false
}

func encodeUvarint(value uint64) []byte { return binary.AppendUvarint(nil, value) }
