package reach

import "time"

// Intermediaries chooses the VMs through which a VM connects to servers.
type Intermediaries struct {
	// asideUntil is until when a VM isn't chosen, since it was of no use.
	asideUntil map[string]time.Duration
}

// NewIntermediaries returns Intermediaries that may choose any VM.
func NewIntermediaries() *Intermediaries {
	return &Intermediaries{asideUntil: make(map[string]time.Duration)}
}

// SetAside keeps a VM from being chosen for span.
func (i *Intermediaries) SetAside(now time.Duration, vm string, span time.Duration) {
	i.asideUntil[vm] = now + span
	for other, until := range i.asideUntil {
		if until <= now {
			delete(i.asideUntil, other)
		}
	}
}

// Choose returns up to count VMs in the order in which to try them: random ones, so that no VM
// carries the load of many, alternately of this data centre and of the others, since a data centre
// may lose its paths as a whole. random returns a number from 0 to n-1.
func (i *Intermediaries) Choose(now time.Duration, local, remote []string, count int, random func(n int) int) []string {
	near, far := i.pick(now, local, count, random), i.pick(now, remote, count, random)
	var chosen []string
	for len(chosen) < count && len(near)+len(far) > 0 {
		if len(near) > 0 {
			chosen, near = append(chosen, near[0]), near[1:]
		}
		if len(far) > 0 && len(chosen) < count {
			chosen, far = append(chosen, far[0]), far[1:]
		}
	}
	return chosen
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
