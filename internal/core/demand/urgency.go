package demand

const (
	// minDeprived is the fraction of the more urgent requests that must wait or be refused before less
	// urgent ones are held back.
	minDeprived = 0.05
	// probingFactor is how much more than the work that was started counts as capacity, so that the
	// admitted fraction grows again when there is more.
	probingFactor = 1.1
)

// AdmittedFraction returns the fraction of the requests of a service and priority for which capacity is
// left after the more urgent ones of all VMs: 1 while those are served.
//
// Each VM's queue starts urgent requests first, but capacity is shared by all VMs: without this a VM
// where no urgent request waits would start less urgent ones while others refuse urgent ones.
func (o *Overall) AdmittedFraction(key Key) float64 {
	if o == nil {
		return 1
	}
	var urgent, own, all Counts
	for other, counts := range o.Counts {
		if other.Service != key.Service {
			continue
		}
		all = all.Add(counts)
		switch {
		case other.Priority < key.Priority:
			urgent = urgent.Add(counts)
		case other.Priority == key.Priority:
			own = own.Add(counts)
		}
	}
	deprived := float64(urgent.Waiting.Requests + urgent.Refused.Requests)
	if urgent.Offered.Work == 0 || own.Offered.Work == 0 || deprived <= minDeprived*float64(urgent.Offered.Requests) {
		return 1
	}
	left := probingFactor*float64(all.Started.Work) - float64(urgent.Offered.Work)
	return min(max(left/float64(own.Offered.Work), 0), 1)
}
