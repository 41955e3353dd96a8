package tally

import (
	"slices"
	"time"
)

// The figures of Reach.
const (
	// witnesses is how many VMs of a data centre must be silent: some may have been lost, or
	// stand still. Where a third of the VMs stand still, three that are asked all do with a
	// chance of 1 in 27. Where there are fewer, all must be, but fewestWitnesses at least.
	witnesses       = 3
	fewestWitnesses = 2
	// lostFor is how long a data centre counts as out of reach after the last silence: a
	// hub tells another one each 0.25 s and waits for as long.
	lostFor = time.Second
)

// Reach is what a hub knows of the ways to other data centres, from whether their VMs answer
// it.
//
// What can go wrong: a data centre is cut off. Each VM finds out by itself, server by server,
// since each connection that is opened there hangs for 0.4 s, and the repeats of all are used
// up.
type Reach struct {
	silent map[string]silence
}

// silence is what VMs of a data centre did not answer.
type silence struct {
	// vms are those that did not answer since one did.
	vms []string
	// of is how many VMs there are.
	of int
	at time.Duration
}

// enough tells whether so many silent VMs show that the way is lost.
func (s silence) enough() bool {
	return len(s.vms) >= min(witnesses, max(s.of, fewestWitnesses))
}

// NewReach makes a view by which every data centre is reached.
func NewReach() *Reach { return &Reach{silent: make(map[string]silence)} }

// Answered says that a VM of a data centre answered.
func (r *Reach) Answered(dataCentre string) { delete(r.silent, dataCentre) }

// Silent says that a VM of a data centre with so many VMs did not answer.
func (r *Reach) Silent(now time.Duration, dataCentre, vm string, of int) {
	s := r.silent[dataCentre]
	s.at, s.of = now, of
	if !slices.Contains(s.vms, vm) {
		s.vms = append(s.vms, vm)
	}
	r.silent[dataCentre] = s
}

// OtherWitnesses are the VMs of a data centre that are asked when one was silent, of those
// that live, in the order in which they are hub. They show whether only that one is lost.
func OtherWitnesses(silent string, ranked []string) []string {
	others := slices.DeleteFunc(slices.Clone(ranked), func(vm string) bool { return vm == silent })
	return others[:min(len(others), witnesses-1)]
}

// Lost lists the data centres that are out of reach, in order.
func (r *Reach) Lost(now time.Duration) []string {
	var lost []string
	for dataCentre, s := range r.silent {
		if s.enough() && now-s.at <= lostFor {
			lost = append(lost, dataCentre)
		}
	}
	slices.Sort(lost)
	return lost
}
