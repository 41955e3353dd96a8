package budget

import "time"

// Use is what a VM believes of the retry budget of all VMs for one service, in the last window.
type Use struct {
	Service string
	// Own are the counts of this VM, and Peers those of the others, as of CountsAge ago.
	Own, Peers Count
	CountsAge  time.Duration
	// Absent is the part of Peers of VMs that don't report now.
	Absent Count
	// VMs is the number of VMs that the counts cover, this one included, and SlackVMs the number
	// among which the slack is divided.
	VMs, SlackVMs int
	// Limit is the number of retries that the budget allows for these requests.
	Limit float64
}

// Fraction returns the retries as a fraction of the limit.
func (u Use) Fraction() float64 {
	retries := float64(u.Own.Retries + u.Peers.Retries)
	if retries == 0 {
		return 0
	}
	return retries / max(u.Limit, 1)
}

// Uses returns the use of the budget of each service for which this VM knows of retries.
func (b *Budget) Uses(now time.Duration) []Use {
	services := make(map[string]struct{}, len(b.services)+len(b.peers.Counts))
	for service := range b.services {
		services[service] = struct{}{}
	}
	for service := range b.peers.Counts {
		services[service] = struct{}{}
	}
	var uses []Use
	for service := range services {
		own, peers := b.ownCount(now, service), b.peers.Counts[service]
		if own.Retries+peers.Retries == 0 {
			continue
		}
		uses = append(uses, Use{
			Service: service, Own: own, Peers: peers, CountsAge: now - b.peersAt, Absent: b.peers.Absent[service],
			VMs: b.peers.VMs + 1, SlackVMs: b.vmCount(now),
			Limit: b.limit(own.Requests + peers.Requests),
		})
	}
	return uses
}
