package promise

import (
	"math"
	"time"
)

// Parameters of a Meter.
const (
	// meterSlots is the number of buckets over which starts are counted: two seconds, so that a
	// service of a few starts per second has some in them.
	meterSlots = 20
	// minObserved is the time with waiting requests after which the rate of the starts is known.
	minObserved = 300 * time.Millisecond
	// minRate is the lowest rate assumed, in starts per second. Without it one hang of a server would
	// put off callers for ever.
	minRate = 1.0
)

// Meter measures how many requests of a service a VM starts per second. Only while others wait do the
// starts show the capacity of the servers.
type Meter struct {
	slots   [meterSlots]slot
	waiting bool
	// updated is until when the time with waiting requests was counted.
	updated time.Duration
}

// slot is what was observed in one bucket of time.
type slot struct {
	bucket int64
	// starts are all starts, and busyStarts those while requests waited, for the time of busy.
	starts, busyStarts int
	busy               time.Duration
}

// Rate is a measured rate.
type Rate struct {
	// PerSecond is the expected number of starts per second, and Upper the highest one that is
	// compatible with the starts that were counted.
	PerSecond, Upper float64
	// Certain says that requests waited for long enough to show the capacity.
	Certain bool
}

// at returns the slot of a time, which is cleared if it holds older counts.
func (m *Meter) at(bucket int64) *slot {
	s := &m.slots[(bucket%meterSlots+meterSlots)%meterSlots]
	if s.bucket != bucket {
		*s = slot{bucket: bucket}
	}
	return s
}

// advance counts the time until now.
func (m *Meter) advance(now time.Duration) {
	if m.waiting {
		from := max(m.updated, now-meterSlots*BucketWidth)
		for from < now {
			bucket := bucketOf(from)
			end := min(time.Duration(bucket+1)*BucketWidth, now)
			m.at(bucket).busy += end - from
			from = end
		}
	}
	m.updated = max(m.updated, now)
}

// SetWaiting says whether requests wait for capacity from now on.
func (m *Meter) SetWaiting(now time.Duration, waiting bool) {
	m.advance(now)
	m.waiting = waiting
}

// Started counts a start.
func (m *Meter) Started(now time.Duration) {
	m.advance(now)
	s := m.at(bucketOf(now))
	s.starts++
	if m.waiting {
		s.busyStarts++
	}
}

// Rate returns the rate of the starts.
func (m *Meter) Rate(now time.Duration) Rate {
	m.advance(now)
	var all slot
	for _, s := range m.slots {
		if age := bucketOf(now) - s.bucket; age >= 0 && age < meterSlots {
			all.starts, all.busyStarts, all.busy = all.starts+s.starts, all.busyStarts+s.busyStarts, all.busy+s.busy
		}
	}
	if all.busy >= minObserved {
		return newRate(all.busyStarts, all.busy, true)
	}
	return newRate(all.starts, meterSlots*BucketWidth, false)
}

// Overloaded reports whether requests waited recently for long enough to show the capacity.
func (m *Meter) Overloaded(now time.Duration) bool { return m.Rate(now).Certain }

// newRate returns the rate of starts that were counted. The standard deviation of a count is about its
// root; one start may have been missed at either end.
func newRate(starts int, span time.Duration, certain bool) Rate {
	n, seconds := float64(starts), span.Seconds()
	return Rate{PerSecond: max(n/seconds, minRate), Upper: max((n+math.Sqrt(n)+1)/seconds, minRate), Certain: certain}
}
