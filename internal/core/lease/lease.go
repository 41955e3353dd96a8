// Package lease has the rules for roles that one VM holds at a time: whether an
// observer may consider the holder's lease expired, which epochs are plausible, and
// in which order VMs may take a free role. It does no I/O and reads no clock.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VM is a process that may hold a role. A VM loses its in-memory state when it
// restarts, so the new process counts as another VM with another Incarnation.
type VM struct {
	Name        string `json:"name"`
	DataCentre  string `json:"dataCentre"`
	Incarnation string `json:"incarnation"`
	// Cores is the VM's CPU capacity in cores. 0 means that it is unknown.
	Cores float64 `json:"cores,omitempty"`
}

// The bounds on plausible epochs.
const (
	// maxEpochJump is the maximum by which an epoch may exceed the highest known one.
	maxEpochJump = 1000
	// maxEpoch exceeds any epoch that a deployment can reach through takeovers.
	maxEpoch = 1 << 48
)

// Plausible reports whether an epoch may follow the highest known one. Otherwise a
// damaged or foreign record with a huge epoch would fence every holder permanently.
// A VM that knows no epoch yet accepts any epoch below maxEpoch.
func Plausible(known, epoch uint64) bool {
	if epoch >= maxEpoch {
		return false
	}
	return known == 0 || epoch <= known+maxEpochJump
}

// Observer tracks for how long another VM's lease has not been renewed. It does not
// rely on the holder's clock: a lease has expired once the observer has read the same
// version of its record, without a failed read in between, for longer than the lease
// duration. A failed read restarts that time, so that after an outage of the platform
// the holder can renew before another VM takes over.
type Observer struct {
	version        uint64
	unchangedSince time.Duration
	valid          bool
}

// Read records the version that was returned by a read sent at sent.
func (o *Observer) Read(sent time.Duration, version uint64) {
	if o.valid && o.version == version {
		return
	}
	o.version = version
	o.unchangedSince = sent
	o.valid = true
}

// Failed records a failed read.
func (o *Observer) Failed() { o.valid = false }

// UnchangedFor returns for how long the record has been unchanged up to the last
// read, which was sent at sent.
func (o *Observer) UnchangedFor(sent time.Duration) time.Duration {
	if !o.valid {
		return 0
	}
	return sent - o.unchangedSince
}

// Rank orders the VMs that may take a free role: VMs of the role's home data centre
// first, then by descending CPU capacity, then by rendezvous hashing. The order spreads
// the roles over the VMs, and the loss of one VM moves only the roles that it held.
//
// VMs with more CPU capacity rank first because a VM with a fifth of a core that holds
// a role is late in answering the VMs that depend on the role, and its own callers.
func Rank(role, home string, vms []VM) []VM {
	type candidate struct {
		vm     VM
		remote int
		score  uint64
	}
	candidates := make([]candidate, len(vms))
	for i, vm := range vms {
		candidates[i] = candidate{vm: vm, score: rendezvousScore(role, vm.Name)}
		if vm.DataCentre != home {
			candidates[i].remote = 1
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(b.vm.Cores, a.vm.Cores), cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	ranked := make([]VM, len(vms))
	for i, c := range candidates {
		ranked[i] = c.vm
	}
	return ranked
}

// Position returns the index of a VM in ranked, counted from 0, or len(ranked) if it is absent.
func Position(ranked []VM, name string) int {
	for i, vm := range ranked {
		if vm.Name == name {
			return i
		}
	}
	return len(ranked)
}

func rendezvousScore(role, vm string) uint64 { return xxhash.Sum64String(role + "\x00" + vm) }
