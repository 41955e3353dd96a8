package mirror

import "time"

// The departure time is the time within which a VM that the platform answers must know that a server leaves.
// What a VM knows was confirmed by the platform at a known moment, the time of its proof; whatever its sources do,
// it reads the platform itself in time after that. These are its parts, as ages of the proof in fractions of the
// departure time; the rest is for the read.
const (
	// pollFraction is the wait of a reader's watch, after which the platform confirms that nothing changed.
	pollFraction = 0.4
	// trustFraction is the age up to which the proof of another VM is accepted. A proof is confirmed again
	// before, even if the platform takes some hundred milliseconds for an answer.
	trustFraction = 0.65
	// firstReadFraction and lastReadFraction are the ages at which a VM without a valid source reads the platform
	// itself, the highest-ranked one of a data centre first.
	firstReadFraction = 0.75
	lastReadFraction  = 0.85
)

// defaultDepartureTime is the departure time if none is configured.
const defaultDepartureTime = 2 * time.Second

// minRenewal is by how much a proof must be younger to count as another one. The age of the same proof differs by
// the network delays on its way.
const minRenewal = 100 * time.Millisecond

// PollWait returns how long the watch of a reader waits for a change, for a departure time.
func PollWait(departureTime time.Duration) time.Duration {
	return fractionOf(departureTime, pollFraction)
}

func fractionOf(departureTime time.Duration, fraction float64) time.Duration {
	if departureTime <= 0 {
		departureTime = defaultDepartureTime
	}
	return time.Duration(fraction * float64(departureTime))
}

// age returns an age of the proof that is a fraction of the departure time.
func (f *Follower) age(fraction float64) time.Duration {
	var departureTime time.Duration
	if f.DepartureTime != nil {
		departureTime = f.DepartureTime()
	}
	return fractionOf(departureTime, fraction)
}

// trust returns the age from which on a proof is not accepted any more.
func (f *Follower) trust() time.Duration { return f.age(trustFraction) }

// readAge returns the age of its proof at which a VM without a valid source reads the platform.
func (f *Follower) readAge(a assignment) time.Duration {
	rank := float64(a.position) / float64(max(a.vms, 1))
	return f.age(firstReadFraction + rank*(lastReadFraction-firstReadFraction))
}

// proofAge returns the age of this VM's own proof.
func (f *Follower) proofAge() time.Duration { return f.Now() - f.log.verifiedAt() }
