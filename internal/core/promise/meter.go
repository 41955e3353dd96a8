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
	// meterPriorities is the number of priorities that are told apart; lower ones count as the last.
	meterPriorities = 8
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
	// starts are all starts by priority, and busyStarts those while requests waited, for the time of
	// busy.
	starts, busyStarts [meterPriorities]int
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

func level(priority int) int { return min(max(priority, 0), meterPriorities-1) }

// Started counts a start of a request with that priority.
func (m *Meter) Started(now time.Duration, priority int) {
	m.advance(now)
	s := m.at(bucketOf(now))
	s.starts[level(priority)]++
	if m.waiting {
		s.busyStarts[level(priority)]++
	}
}

// Rate returns the rate of the starts that a request of that priority may get: more urgent ones that
// arrive later take theirs first.
func (m *Meter) Rate(now time.Duration, priority int) Rate {
	m.advance(now)
	var all slot
	for _, s := range m.slots {
		if age := bucketOf(now) - s.bucket; age >= 0 && age < meterSlots {
			all.busy += s.busy
			for i := range s.starts {
				all.starts[i] += s.starts[i]
				all.busyStarts[i] += s.busyStarts[i]
			}
		}
	}
	if all.busy >= minObserved {
		return newRate(all.busyStarts, priority, all.busy, true)
	}
	return newRate(all.starts, priority, meterSlots*BucketWidth, false)
}

// newRate returns the rate of starts that were counted, for a priority. The standard deviation of a
// count is about its root; one start may have been missed at either end.
func newRate(starts [meterPriorities]int, priority int, span time.Duration, certain bool) Rate {
	total, n := 0.0, 0.0
	for i, count := range starts {
		total += float64(count)
		if i >= level(priority) {
			n += float64(count)
		}
	}
	seconds, lowest := span.Seconds(), 0.0
	if total/seconds < minRate {
		lowest = minRate
	}
	return Rate{PerSecond: max(n/seconds, lowest), Upper: max((n+math.Sqrt(n)+1)/seconds, lowest), Certain: certain}
}
