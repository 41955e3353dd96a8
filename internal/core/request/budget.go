package request

import "time"

// BudgetOptions configure a Budget. A zero field takes its default.
type BudgetOptions struct {
	// Ratio is the number of retries that each first attempt adds. Default 0.2.
	Ratio float64 `json:"ratio,omitempty"`
	// PerSecond is the number of retries that are added each second. Default 5.
	PerSecond float64 `json:"perSecond,omitempty"`
	// Burst is the number of retries allowed at once, in addition to one for each
	// request in flight. Default 64.
	Burst float64 `json:"burst,omitempty"`
}

const (
	defaultBudgetRatio     = 0.2
	defaultBudgetPerSecond = 5
	defaultBudgetBurst     = 64
	// inFlightRefillTime is the time after which every request in flight may be
	// retried once more.
	inFlightRefillTime = 60 * time.Second
	// maxBudgetWait is the longest that a retry waits for the budget before the
	// request is refused.
	maxBudgetWait = 2 * time.Second
)

// Budget is a VM's retry budget. When many attempts fail because the servers are
// overloaded, retrying each of them multiplies the load and keeps the servers
// down. The budget allows every request in flight to be resumed once, so that
// its stream continues at once after the loss of a server, and beyond that only
// as many retries as a fraction of the new requests.
type Budget struct {
	options BudgetOptions
	// spent is the number of retries that have not been replenished yet.
	spent     float64
	updatedAt time.Duration
}

// NewBudget returns a full budget.
func NewBudget(options BudgetOptions) Budget {
	if options.Ratio <= 0 {
		options.Ratio = defaultBudgetRatio
	}
	if options.PerSecond <= 0 {
		options.PerSecond = defaultBudgetPerSecond
	}
	if options.Burst <= 0 {
		options.Burst = defaultBudgetBurst
	}
	return Budget{options: options}
}

// RecordFirstAttempt counts a first attempt, which adds to the budget.
func (b *Budget) RecordFirstAttempt() { b.spent = max(0, b.spent-b.options.Ratio) }

// Spend requests a retry. It is granted after the returned wait, which is often
// 0. If the wait would be too long, nothing is spent and ok is false.
func (b *Budget) Spend(now time.Duration, inFlight int) (wait time.Duration, ok bool) {
	perSecond := b.options.PerSecond + float64(inFlight)/inFlightRefillTime.Seconds()
	b.spent = max(0, b.spent-perSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	deficit := b.spent + 1 - (b.options.Burst + float64(inFlight))
	if deficit > 0 {
		wait = time.Duration(deficit / perSecond * float64(time.Second))
	}
	if wait > maxBudgetWait {
		return wait, false
	}
	b.spent++
	return wait, true
}
