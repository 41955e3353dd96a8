package tally

import (
	"maps"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/budget"
)

// timeline counts by absolute time, in buckets of a part of the retry budget's window. What is older
// than the window drops out by itself.
type timeline [budget.HistoryLength]struct {
	bucket int64
	count  budget.Count
}

// add adds a history that was reported in a bucket.
func (t *timeline) add(bucket int64, history budget.History) {
	for age, count := range history {
		at := bucket - int64(age)
		slot := &t[slotOf(at)]
		if slot.bucket < at {
			slot.bucket, slot.count = at, budget.Count{}
		}
		if slot.bucket == at {
			slot.count = slot.count.Add(count)
		}
	}
}

// subtract takes off a history that was added before.
func (t *timeline) subtract(bucket int64, history budget.History) {
	for age, count := range history {
		at := bucket - int64(age)
		if slot := &t[slotOf(at)]; slot.bucket == at {
			slot.count = slot.count.Subtract(count)
		}
	}
}

// history returns the counts by age as of a bucket.
func (t *timeline) history(bucket int64) (history budget.History) {
	for age := range history {
		at := bucket - int64(age)
		if slot := &t[slotOf(at)]; slot.bucket == at {
			history[age] = slot.count
		}
	}
	return history
}

// timelines are the counts by service.
type timelines map[string]*timeline

// add adds histories that were reported in a bucket.
func (t timelines) add(bucket int64, counts map[string]budget.History) {
	for service, history := range counts {
		if t[service] == nil {
			t[service] = &timeline{}
		}
		t[service].add(bucket, history)
	}
}

// subtract takes off histories that were added before.
func (t timelines) subtract(bucket int64, counts map[string]budget.History) {
	for service, history := range counts {
		t[service].subtract(bucket, history)
	}
}

// histories returns the counts as of a bucket of the services that have any.
func (t timelines) histories(bucket int64) map[string]budget.History {
	histories := make(map[string]budget.History, len(t))
	for service, counts := range t {
		if history := counts.history(bucket); history != (budget.History{}) {
			histories[service] = history
		}
	}
	return histories
}

func slotOf(bucket int64) int64 {
	return (bucket%budget.HistoryLength + budget.HistoryLength) % budget.HistoryLength
}

// aged returns a history as it is a number of buckets later.
func aged(history budget.History, buckets int64) (later budget.History) {
	if buckets < budget.HistoryLength {
		copy(later[max(buckets, 0):], history[:])
	}
	return later
}

// missing returns what a known history has that another one lacks of the time up to which it is
// known, which is a number of buckets ago. Both are as of the same bucket. What one counts in a
// bucket may be in the next newer one of the other, since the VMs' buckets begin at other times.
func missing(known, counted budget.History, buckets int64) (lacking budget.History) {
	var newer budget.Count
	for age := max(buckets, 0); age < budget.HistoryLength; age++ {
		rest := known[age].Subtract(counted[age])
		lacking[age] = budget.Count{
			Requests: max(rest.Requests+min(newer.Requests, 0), 0),
			Retries:  max(rest.Retries+min(newer.Retries, 0), 0),
		}
		newer = rest
	}
	return lacking
}

// Counts are what VMs did up to a time, by service.
type Counts struct {
	// At is up to when they are known.
	At time.Duration
	// Histories are as of At.
	Histories map[string]budget.History
}

// Add returns the sum of two histories by service, as of the same time.
func Add(a, b map[string]budget.History) map[string]budget.History {
	sum := make(map[string]budget.History, len(a)+len(b))
	maps.Copy(sum, a)
	for service, history := range b {
		total := sum[service]
		for age, count := range history {
			total[age] = total[age].Add(count)
		}
		sum[service] = total
	}
	return sum
}
