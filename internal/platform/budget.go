package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Method is a method of the API, used as a label of the call counters.
type Method string

// Methods of the API.
const (
	MethodGet    Method = "get"
	MethodList   Method = "list"
	MethodWrite  Method = "write"
	MethodDelete Method = "delete"
	MethodWatch  Method = "watch"
	MethodVMs    Method = "vms"
)

// Calls counts a client's calls by method and outcome.
type Calls map[Call]uint64

// Call is a method with the outcome of a call.
type Call struct {
	Method  Method
	Outcome string
}

// Of returns the number of calls of the given methods, or of all methods if none is given.
func (c Calls) Of(methods ...Method) uint64 {
	var sum uint64
	for call, count := range c {
		if len(methods) == 0 {
			sum += count
		}
		for _, method := range methods {
			if call.Method == method {
				sum += count
			}
		}
	}
	return sum
}

type counters struct {
	mu    sync.Mutex
	calls Calls
}

func (c *counters) count(method Method, err error) {
	call := Call{Method: method, Outcome: outcomeLabel(err)}
	c.mu.Lock()
	if c.calls == nil {
		c.calls = make(Calls)
	}
	c.calls[call]++
	c.mu.Unlock()
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_platform_calls_total{method=%q,outcome=%q}", method, call.Outcome)).Inc()
}

// Calls returns a copy of the call counts. A watch counts as one call when it
// starts, with outcome "open".
func (c *Client) Calls() Calls {
	c.counters.mu.Lock()
	defer c.counters.mu.Unlock()
	calls := make(Calls, len(c.counters.calls))
	for call, count := range c.counters.calls {
		calls[call] = count
	}
	return calls
}

// waitForBudget takes one call from the budget and waits if it is exhausted. The
// platform limits the calls of the whole fleet: a VM that retries without a limit
// would use up the others' share, and all VMs would be throttled.
func (c *Client) waitForBudget(ctx context.Context, method Method, kind string) error {
	if err := c.budget.Wait(ctx); err != nil {
		err = fmt.Errorf("%w: %w", ErrBudget, err)
		c.counters.count(method, err)
		return err
	}
	countRequest(method, kind)
	return nil
}

// countRequest counts a call by method and object kind. A watch counts again with each
// bookmark, because a polling Wire sends a request for each batch of changes.
func countRequest(method Method, kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_platform_asked_total{method=%q,kind=%q}", method, kind)).Inc()
}

func outcomeLabel(err error) string {
	outcomes := []struct {
		kind error
		name string
	}{
		{ErrBudget, "budget"},
		{ErrNotFound, "not_found"},
		{ErrConflict, "conflict"},
		{ErrCompacted, "compacted"},
		{ErrThrottled, "throttled"},
		{ErrRefused, "refused"},
		{errWatchOpen, "open"},
	}
	if err == nil {
		return "ok"
	}
	for _, o := range outcomes {
		if errors.Is(err, o.kind) {
			return o.name
		}
	}
	return "unavailable"
}
