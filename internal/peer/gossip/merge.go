package gossip

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/peer"
)

// merge takes deltas from another VM. It must be called with the lock held;
// drain must follow once it is released.
func (g *Gossip) merge(deltas []digest.Delta) {
	merged := g.store.Merge(deltas)
	now := g.options.Now()
	if merged.ConflictingIncarnation != 0 {
		// An earlier process of this VM had a higher number, as after a clock
		// was set back. Above it, the others take this one for the newer.
		g.store.SetIncarnation(merged.ConflictingIncarnation + 1)
	}
	for _, origin := range merged.Replaced {
		// What the earlier process said is void, and must be told so.
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
		g.releaseOf(vm, release)
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
	case strings.HasPrefix(change.Key, prefixVM):
		g.vms.SetDownReport(vm, strings.TrimPrefix(change.Key, prefixVM), len(change.Value) > 0)
	case change.Key != keyAlive:
		g.announceEntry(vm, change.Key, change.Value)
		g.push(news{vm, change.Key})
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
		g.tickVMs()
		return
	}
	g.list(member)
}

// releaseOf takes a VM's word on the release in force there. An older word that
// comes later by another way changes nothing.
func (g *Gossip) releaseOf(vm string, release uint64) {
	g.options.Directory.Change(vm, func(m *peer.Member) { m.Release = max(m.Release, release) })
}

// list puts a VM into the directory. It keeps the release that is known.
func (g *Gossip) list(member peer.Member) {
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

// tickVMs judges the other VMs anew.
func (g *Gossip) tickVMs() {
	now := g.options.Now()
	for _, vm := range g.vms.Tick(now) {
		g.judged(vm)
	}
	for _, name := range g.vms.RemoveExpired(now) {
		g.store.Forget(name)
		delete(g.agreed, name)
		g.put(prefixVM+name, nil, false)
	}
}

func (g *Gossip) judged(vm fleet.VMStatus) {
	down := vm.State == fleet.Suspect || vm.State == fleet.Gone
	if vm.DataCentre == g.self.DataCentre && g.watches(vm.Name) {
		value := []byte{}
		if down {
			value = []byte{1}
		}
		g.put(prefixVM+vm.Name, value, vm.State == fleet.Gone)
	}
	if vm.State == fleet.Gone {
		g.options.Directory.Remove(vm.Name)
	} else {
		g.returned(vm)
	}
	g.announceVM(vm)
}

// returned lists a VM again that was gone, and tells its entries anew: when it
// was counted out its word was dropped.
func (g *Gossip) returned(vm fleet.VMStatus) {
	_, listed := g.options.Directory.Member(vm.Name)
	if listed {
		g.options.Directory.Change(vm.Name, func(m *peer.Member) { m.State = vm.State })
		return
	}
	for _, change := range g.store.Changes(vm.Name) {
		switch change.Key {
		case keyMember:
			if member, ok := decodeMember(change); ok {
				g.list(member)
			}
		case keyAlive, keyRelease:
		default:
			g.announceEntry(vm.Name, change.Key, change.Value)
		}
	}
}

// watches tells whether this VM is one of those that watch another on behalf of
// other data centres.
func (g *Gossip) watches(name string) bool {
	live := []string{g.self.Name}
	for _, vm := range g.vms.Statuses() {
		if vm.DataCentre == g.self.DataCentre && vm.State == fleet.Live && vm.Name != name {
			live = append(live, vm.Name)
		}
	}
	for _, observer := range fleet.Observers(name, live, watchers) {
		if observer == g.self.Name {
			return true
		}
	}
	return false
}

func putUvarint(value uint64) []byte { return binary.AppendUvarint(nil, value) }
