package budget

import "time"

const (
	// HistoryBuckets is the number of parts into which a History divides the window of the budget.
	HistoryBuckets = 20
	// HistoryLength is the number of parts of a History. The last one is partly older than the
	// window.
	HistoryLength = HistoryBuckets + 1
)

// Count is a number of requests and of retries.
type Count struct {
	Requests int `json:"requests"`
	Retries  int `json:"repeats"`
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Requests: c.Requests + other.Requests, Retries: c.Retries + other.Retries}
}

// Subtract returns the difference of two counts.
func (c Count) Subtract(other Count) Count {
	return Count{Requests: c.Requests - other.Requests, Retries: c.Retries - other.Retries}
}

// History is what VMs did in the last window, by age: the newest part of the window comes first.
type History [HistoryLength]Count

// Total returns the counts of the window. Of the part that is partly older it includes the retries,
// as they may still count, but not the requests.
func (h History) Total() Count {
	var sum Count
	for _, count := range h {
		sum = sum.Add(count)
	}
	sum.Requests -= h[HistoryBuckets].Requests
	return sum
}

// Totals returns the counts of the whole window by service.
func Totals(histories map[string]History) map[string]Count {
	totals := make(map[string]Count, len(histories))
	for service, history := range histories {
		totals[service] = history.Total()
	}
	return totals
}

// Histories returns what this VM did by service, to report to the other VMs.
func (b *Budget) Histories(now time.Duration) map[string]History {
	histories := make(map[string]History, len(b.services))
	for service := range b.services {
		w := b.window(now, service)
		var history History
		for age := range int64(keptBuckets) {
			part := &history[age*HistoryBuckets/buckets]
			*part = part.Add(w.at(age))
		}
		if history != (History{}) {
			histories[service] = history
		}
	}
	return histories
}
