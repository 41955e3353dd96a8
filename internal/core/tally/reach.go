package tally

import (
	"slices"
	"time"
)

// Parameters of Reachability.
const (
	// maxWitnesses is how many VMs of a data centre must be unresponsive before it counts as
	// unreachable: some may have been lost or be frozen. If a third of the VMs are frozen, three
	// probed VMs are all frozen with a probability of 1 in 27. In a smaller data centre all VMs
	// must be unresponsive, but at least minWitnesses.
	maxWitnesses = 3
	minWitnesses = 2
	// unreachableFor is how long a data centre counts as unreachable after the last timeout: a
	// hub reports to another one every 0.25 s and waits as long for the answer.
	unreachableFor = time.Second
)

// Reachability tracks which other data centres a hub can reach, based on whether their VMs answer it.
//
// Without it, when a data centre is partitioned, each VM finds out by itself, server by server,
// since each new connection to it hangs for 0.4 s, and the retry budget of all VMs is used up.
type Reachability struct {
	unresponsive map[string]unresponsiveVMs
}

// unresponsiveVMs are the VMs of one data centre that did not answer.
type unresponsiveVMs struct {
	// vms are the VMs that did not answer since one last did.
	vms []string
	// total is how many VMs the data centre has.
	total int
	at    time.Duration
}

// conclusive reports whether enough VMs are unresponsive for the data centre to count as
// unreachable.
func (s unresponsiveVMs) conclusive() bool {
	return len(s.vms) >= min(maxWitnesses, max(s.total, minWitnesses))
}

// NewReachability returns a Reachability by which every data centre is reachable.
func NewReachability() *Reachability {
	return &Reachability{unresponsive: make(map[string]unresponsiveVMs)}
}

// RecordAnswer records that a VM of a data centre answered.
func (r *Reachability) RecordAnswer(dataCentre string) { delete(r.unresponsive, dataCentre) }

// RecordNoAnswer records that a VM of a data centre with that many VMs did not answer.
func (r *Reachability) RecordNoAnswer(now time.Duration, dataCentre, vm string, total int) {
	s := r.unresponsive[dataCentre]
	s.at, s.total = now, total
	if !slices.Contains(s.vms, vm) {
		s.vms = append(s.vms, vm)
	}
	r.unresponsive[dataCentre] = s
}

// OtherWitnesses returns the VMs of a data centre to probe after one did not answer, taken from
// its live VMs in the order in which they are hub. Their answers show whether only that one VM
// has failed.
func OtherWitnesses(unresponsive string, ranked []string) []string {
	others := slices.DeleteFunc(slices.Clone(ranked), func(vm string) bool { return vm == unresponsive })
	return others[:min(len(others), maxWitnesses-1)]
}

// Unreachable returns the unreachable data centres, sorted.
func (r *Reachability) Unreachable(now time.Duration) []string {
	var unreachable []string
	for dataCentre, s := range r.unresponsive {
		if s.conclusive() && now-s.at <= unreachableFor {
			unreachable = append(unreachable, dataCentre)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}
