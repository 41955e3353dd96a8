package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Client calls the object API. It is safe for concurrent use. It implements the
// call budget, timeouts, counters, recovery from lost responses, and watches; the
// Wire only encodes single calls.
type Client struct {
	wire        Wire
	callTimeout time.Duration
	bookmark    time.Duration
	gather      time.Duration
	budget      *rate.Limiter
	clock       Clock
	random      func() float64
	maxBackoff  time.Duration
	counters    counters
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := c.call(ctx, MethodGet, kind, func(ctx context.Context) (err error) {
		object, err = c.wire.Get(ctx, kind, name)
		return err
	})
	return object, err
}

// kindVMs is the kind label for counting reads of the list of VMs.
const kindVMs = "vms"

// VMs reads the platform's list of VMs. It returns ErrRefused if the platform has
// no such list.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	lister, ok := c.wire.(VMLister)
	if !ok {
		return nil, ErrRefused
	}
	var vms []VM
	err := c.call(ctx, MethodVMs, kindVMs, func(ctx context.Context) (err error) {
		vms, err = lister.VMs(ctx)
		return err
	})
	return vms, err
}

// call makes one call within the budget and the call timeout, and counts it.
func (c *Client) call(ctx context.Context, method Method, kind string, exchange func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	if err := c.waitForBudget(ctx, method, kind); err != nil {
		return err
	}
	err := exchange(ctx)
	c.counters.count(method, err)
	return err
}

// URL returns the base URL of the built-in HTTP API, or "" if the client uses another Wire.
func (c *Client) URL() string { return c.httpWire().base }
