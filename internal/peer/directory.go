// Package peer connects the VMs of a deployment: a directory of the known VMs, a
// server for calls from other VMs and clients to call them. The calls themselves
// are connect-go services of the packages that need them.
package peer

import (
	"cmp"
	"slices"
	"sync"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

// Member describes a VM to the other VMs.
type Member struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Deployment is the deployment that the VM belongs to.
	Deployment string `json:"deployment,omitempty"`
	// Address is host:port of the VM's peer server.
	Address string `json:"address"`
	// Incarnation distinguishes successive processes with the same name.
	Incarnation string `json:"incarnation"`
	// Cores is the CPU capacity of the VM in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Reads lists the schema versions that the VM can read, as "Kind/version".
	Reads []string `json:"reads,omitempty"`
	// Leaving reports whether the VM is shutting down as planned.
	Leaving bool `json:"leaving,omitempty"`
	// Release is the newest release that the VM has reported to be in force on
	// it. For a VM in another data centre it may be the lowest release of that
	// data centre.
	Release uint64 `json:"release,omitempty"`
	// State is the state that the local failure detection assigns to the VM.
	// Empty means live.
	State fleet.State `json:"state,omitempty"`
}

// Directory holds the VMs that are not known to be gone, including this one. It
// is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	members map[string]Member
	// placements counts changes of the set of VMs and of their data centres.
	placements uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{members: make(map[string]Member)} }

// Put adds a VM or replaces its entry.
func (d *Directory) Put(member Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.members[member.Name]
	if !known || before.DataCentre != member.DataCentre {
		d.placements++
	}
	d.members[member.Name] = member
}

// Placements returns a number that changes only when a VM is added, removed or
// moved to another data centre. Results that are derived only from the names and
// data centres of VMs can be cached until it changes.
func (d *Directory) Placements() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.placements
}

// Change applies a change to the entry of a VM, if there is one.
func (d *Directory) Change(name string, change func(*Member)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if member, ok := d.members[name]; ok {
		dataCentre := member.DataCentre
		change(&member)
		if member.DataCentre != dataCentre {
			d.placements++
		}
		d.members[name] = member
	}
}

// Remove removes a VM.
func (d *Directory) Remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.members[name]; known {
		d.placements++
	}
	delete(d.members, name)
}

// Member returns a VM by name.
func (d *Directory) Member(name string) (Member, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	member, ok := d.members[name]
	return member, ok
}

// Members returns the VMs sorted by name.
func (d *Directory) Members() []Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	members := make([]Member, 0, len(d.members))
	for _, member := range d.members {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
