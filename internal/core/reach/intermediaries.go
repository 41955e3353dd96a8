package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// provenTime is how long a VM is preferred after a connect through it.
	provenTime = 10 * time.Second
	// enoughProven is the number of proven VMs from which on no others are tried first, and
	// exploreOneIn the share of choices that try another one first until then.
	enoughProven = 3
	exploreOneIn = 4
)

// Intermediaries chooses the VMs through which a VM connects to the servers of one service.
type Intermediaries struct {
	// asideUntil is until when a VM isn't chosen, since it was of no use, and provenUntil until
	// when it is preferred.
	asideUntil, provenUntil map[string]time.Duration
}

// NewIntermediaries returns Intermediaries that may choose any VM.
func NewIntermediaries() *Intermediaries {
	return &Intermediaries{asideUntil: make(map[string]time.Duration), provenUntil: make(map[string]time.Duration)}
}

// SetAside keeps a VM from being chosen for span.
func (i *Intermediaries) SetAside(now time.Duration, vm string, span time.Duration) {
	delete(i.provenUntil, vm)
	i.asideUntil[vm] = now + span
	dropPassed(now, i.asideUntil)
}

// Proven records that a connect through a VM succeeded.
func (i *Intermediaries) Proven(now time.Duration, vm string) {
	delete(i.asideUntil, vm)
	i.provenUntil[vm] = now + provenTime
	dropPassed(now, i.provenUntil)
}

func dropPassed(now time.Duration, until map[string]time.Duration) {
	maps.DeleteFunc(until, func(_ string, at time.Duration) bool { return at <= now })
}

// Choose returns up to count VMs in the order in which to try them: random ones, so that no VM
// carries the load of many, first one that is proven, then alternately of this data centre and of
// the others, since a data centre may lose its paths as a whole. random returns a number from 0 to
// n-1.
func (i *Intermediaries) Choose(now time.Duration, local, remote []string, count int, random func(n int) int) []string {
	chosen, known := i.chooseProven(now, local, remote, random)
	near, far := i.pick(now, local, count, random), i.pick(now, remote, count, random)
	add := func(vms []string) []string {
		if len(vms) == 0 {
			return vms
		}
		if len(chosen) < count && !slices.Contains(chosen, vms[0]) {
			chosen = append(chosen, vms[0])
		}
		return vms[1:]
	}
	for len(chosen) < count && len(near)+len(far) > 0 {
		near = add(near)
		far = add(far)
	}
	if len(chosen) == 0 {
		return i.lastResort(local, remote)
	}
	if known > 0 && known < enoughProven && len(chosen) > 1 && random(exploreOneIn) == 0 {
		chosen[0], chosen[1] = chosen[1], chosen[0]
	}
	return chosen
}

// lastResort returns the VM that isn't to be chosen for the shortest time: all may have been slow for
// a moment.
func (i *Intermediaries) lastResort(local, remote []string) []string {
	all := slices.Concat(local, remote)
	if len(all) == 0 {
		return nil
	}
	return []string{slices.MinFunc(all, func(a, b string) int { return cmp.Compare(i.asideUntil[a], i.asideUntil[b]) })}
}

// chooseProven returns a random VM of the proven ones, of this data centre if there is one, or none,
// and the number of those that it was chosen from.
func (i *Intermediaries) chooseProven(now time.Duration, local, remote []string, random func(n int) int) (chosen []string, known int) {
	for _, vms := range [][]string{local, remote} {
		var proven []string
		for _, vm := range vms {
			if now < i.provenUntil[vm] {
				proven = append(proven, vm)
			}
		}
		if len(proven) > 0 {
			return []string{proven[random(len(proven))]}, len(proven)
		}
	}
	return nil, 0
}

// pick returns up to count usable VMs, from a random position on.
func (i *Intermediaries) pick(now time.Duration, vms []string, count int, random func(n int) int) []string {
	if len(vms) == 0 {
		return nil
	}
	var picked []string
	start := random(len(vms))
	for k := range vms {
		vm := vms[(start+k)%len(vms)]
		if now >= i.asideUntil[vm] {
			picked = append(picked, vm)
		}
		if len(picked) == count {
			break
		}
	}
	return picked
}
