package demand

import (
	"math"
	"time"
)

// The window over which requests are counted.
const (
	// Window is the time over which rates are counted.
	Window = time.Second
	// buckets is the number of parts of the window; a sum is of the last 0.95 to 1 s.
	buckets    = 20
	bucketSpan = Window / buckets
)

// Counter counts the requests that reach one VM.
type Counter struct {
	flows    map[Key]*flow
	accounts map[string]map[string]*window
}

// flow is the requests of one service and priority.
type flow struct {
	offered, overShare, started, refused amountWindow
	waiting                              Amount
}

// NewCounter returns a counter without requests.
func NewCounter() *Counter {
	return &Counter{flows: make(map[Key]*flow), accounts: make(map[string]map[string]*window)}
}

// Offered counts a request that arrived. account is empty without one.
func (c *Counter) Offered(now time.Duration, key Key, account string, work float64) {
	amount := amountOf(work)
	c.flow(key).offered.add(now, amount)
	if account == "" {
		return
	}
	byName, ok := c.accounts[key.Service]
	if !ok {
		byName = make(map[string]*window)
		c.accounts[key.Service] = byName
	}
	if byName[account] == nil {
		byName[account] = &window{}
	}
	byName[account].add(now, amount.Work)
}

// OverShare counts an offered request that exceeds the share of its account.
func (c *Counter) OverShare(now time.Duration, key Key, work float64) {
	c.flow(key).overShare.add(now, amountOf(work))
}

// Started counts a request that was sent to a server.
func (c *Counter) Started(now time.Duration, key Key, work float64) {
	c.flow(key).started.add(now, amountOf(work))
}

// Refused counts a request that was refused for lack of capacity.
func (c *Counter) Refused(now time.Duration, key Key, work float64) {
	c.flow(key).refused.add(now, amountOf(work))
}

// Queued counts a request that begins to wait. Dequeued must be called when it ends.
func (c *Counter) Queued(key Key, work float64) {
	f := c.flow(key)
	f.waiting = f.waiting.Add(amountOf(work))
}

// Dequeued counts the end of a request's wait.
func (c *Counter) Dequeued(key Key, work float64) {
	f := c.flow(key)
	f.waiting = f.waiting.Subtract(amountOf(work))
}

func (c *Counter) flow(key Key) *flow {
	f, ok := c.flows[key]
	if !ok {
		f = &flow{}
		c.flows[key] = f
	}
	return f
}

// Report returns the demand of the last second, and forgets services and accounts without any. It
// has no maps without requests.
func (c *Counter) Report(now time.Duration) Report {
	var report Report
	for key, f := range c.flows {
		counts := Counts{f.offered.sum(now), f.overShare.sum(now), f.started.sum(now), f.refused.sum(now), f.waiting}
		if counts == (Counts{}) {
			delete(c.flows, key)
			continue
		}
		if report.Counts == nil {
			report.Counts = make(map[Key]Counts, len(c.flows))
		}
		report.Counts[key] = counts
	}
	for service := range c.accounts {
		summary := c.summary(now, service)
		if summary.isZero() {
			delete(c.accounts, service)
			continue
		}
		if report.Accounts == nil {
			report.Accounts = make(map[string]Summary, len(c.accounts))
		}
		report.Accounts[service] = summary
	}
	return report
}

// summary returns the accounts of a service with the most work, and forgets those without any.
func (c *Counter) summary(now time.Duration, service string) Summary {
	byName := c.accounts[service]
	accounts := make([]Account, 0, len(byName))
	for name, w := range byName {
		if work := w.sum(now); work > 0 {
			accounts = append(accounts, Account{Name: name, Work: work})
		} else {
			delete(byName, name)
		}
	}
	return NewSummary(accounts, 0)
}

// maxWork bounds the work of one request, so that sums of all requests can't overflow.
const maxWork = 1 << 30

// amountOf returns the amount of one request. Its work is rounded up to whole tokens.
func amountOf(work float64) Amount {
	if !(work > 1) { // also NaN
		return Amount{Requests: 1, Work: 1}
	}
	return Amount{Requests: 1, Work: int64(math.Ceil(min(work, maxWork)))}
}

// amountWindow is the amounts of the last second.
type amountWindow struct{ requests, work window }

func (w *amountWindow) add(now time.Duration, a Amount) {
	w.requests.add(now, a.Requests)
	w.work.add(now, a.Work)
}

func (w *amountWindow) sum(now time.Duration) Amount {
	return Amount{w.requests.sum(now), w.work.sum(now)}
}

// window is a sum over the last second.
type window struct {
	parts  [buckets]int64
	newest int64
	total  int64
}

func (w *window) add(now time.Duration, n int64) {
	w.advance(now)
	w.parts[w.newest%buckets] += n
	w.total += n
}

func (w *window) sum(now time.Duration) int64 {
	w.advance(now)
	return w.total
}

// advance drops the parts that are older than the window. A clock that goes back drops none.
func (w *window) advance(now time.Duration) {
	bucket := int64(max(now, 0) / bucketSpan)
	if bucket-w.newest >= buckets {
		*w = window{newest: bucket}
		return
	}
	for w.newest < bucket {
		w.newest++
		w.total -= w.parts[w.newest%buckets]
		w.parts[w.newest%buckets] = 0
	}
}
