// Package admit decides whether a request starts now, is queued or is refused.
// Each pool of backend servers has an adaptive concurrency limit and one queue,
// in which client accounts share the pool in proportion to their weights. Rate
// limits of accounts are split between the VMs.
package admit

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Options configure a Controller. A zero field takes its default.
type Options struct {
	// PerServer is the initial limit of concurrent requests per backend server.
	// Default 32.
	PerServer int `json:"perServer,omitempty"`
	// FloorPerServer is the minimum limit of concurrent requests per backend
	// server, over all VMs. Default 8.
	FloorPerServer int `json:"floorPerServer,omitempty"`
	// MaxLimit is the maximum limit of concurrent requests of a pool. Default
	// 8192.
	MaxLimit int `json:"maxLimit,omitempty"`
	// MaxQueued is the maximum number of queued requests of a pool. Default 4096.
	MaxQueued int `json:"maxQueued,omitempty"`
	// Tolerance is the factor over its recent minimum that the latency per unit
	// of work may reach before the limit is lowered. Default 2.5.
	Tolerance float64 `json:"tolerance,omitempty"`
}

// Defaults of Options.
const (
	defaultPerServer      = 32
	defaultFloorPerServer = 8
	defaultMaxLimit       = 8192
	defaultMaxQueued      = 4096
	defaultTolerance      = 2.5
)

func (o Options) withDefaults() Options {
	setDefault(&o.PerServer, defaultPerServer)
	setDefault(&o.FloorPerServer, defaultFloorPerServer)
	setDefault(&o.MaxLimit, defaultMaxLimit)
	setDefault(&o.MaxQueued, defaultMaxQueued)
	if o.Tolerance <= 0 {
		o.Tolerance = defaultTolerance
	}
	return o
}

func setDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

// Limits are the limits of a client account.
type Limits struct {
	// Weight is the account's weight in the sharing of a pool. 0 counts as 1.
	Weight float64
	// PerSecond limits the sustained request rate over all VMs. 0 means
	// unlimited.
	PerSecond float64
	// Burst is the number of requests that may arrive at once above the rate. 0
	// allows one second of the rate.
	Burst int
}

// Item is a request that asks for admission.
type Item struct {
	ID      request.ID
	Account string
	// Pool names the pool of the request: one model or one plain service.
	Pool string
	// Priority orders the requests of one account; higher goes first.
	Priority int
	Deadline time.Duration
	// PromptTokens and MaxTokens serve to estimate the work. 0 if unknown.
	PromptTokens int
	MaxTokens    int
	// RateCharged is true if the request already took a token of its account's rate
	// limit.
	RateCharged bool
}

// Decision is the result of Offer.
type Decision struct {
	// Start is true if the request got a slot and may be dispatched.
	Start bool
	// Reason is why the request was refused. Empty if it starts or is queued.
	Reason request.Reason
	// RetryAfter is when a refused request may be admitted.
	RetryAfter time.Duration
	// EstimatedWait is the estimated time in the queue. 0 if unknown.
	EstimatedWait time.Duration
	// Evicted are queued requests that were removed from a full queue because
	// their account fills more than its share of it. They are refused as
	// overloaded.
	Evicted []Eviction
}

// Eviction is a queued request that was removed from the queue.
type Eviction struct {
	ID         request.ID
	RetryAfter time.Duration
}

// Controller admits the requests of one VM. It is not safe for concurrent use.
type Controller struct {
	options  Options
	pools    map[string]*pool
	items    map[request.ID]*trackedRequest
	accounts accountTable
	sequence uint64
}

// trackedRequest is a request that is queued or holds a slot.
type trackedRequest struct {
	Item
	flow     *flow
	sequence uint64
	// heapIndex is the request's index in the flow's queue.
	heapIndex int
	cost      float64
	started   bool
	startedAt time.Duration
}

// New returns a controller without pools. They are created on first use.
func New(options Options) *Controller {
	return &Controller{
		options:  options.withDefaults(),
		pools:    make(map[string]*pool),
		items:    make(map[request.ID]*trackedRequest),
		accounts: newAccountTable(),
	}
}

// SetServers sets the number of backend servers of a pool.
func (c *Controller) SetServers(name string, servers int) {
	c.pool(name).limiter.setServers(servers, c.accounts.liveVMs)
}

// Offer requests admission. The caller must call Done or Remove for every
// request that starts or is queued.
func (c *Controller) Offer(now time.Duration, offered Item, limits Limits) Decision {
	account := c.accounts.touch(now, offered.Account, limits)
	if !offered.RateCharged {
		if wait := account.takeToken(now, c.accounts.share(now, account)); wait > 0 {
			return Decision{Reason: request.ReasonRateLimited, RetryAfter: wait}
		}
	}
	p := c.pool(offered.Pool)
	r := &trackedRequest{Item: offered, cost: p.estimateCost(offered), sequence: c.sequence}
	c.sequence++
	r.flow = p.flow(offered.Account, weight(limits))
	if p.queued == 0 && p.hasSlot() {
		c.items[offered.ID] = r
		p.startDirectly(now, r)
		return Decision{Start: true}
	}
	decision := c.enqueue(now, p, r)
	if decision.Reason != "" {
		account.returnToken()
		p.dropIdleFlows(r.flow)
	}
	return decision
}

func (c *Controller) enqueue(now time.Duration, p *pool, r *trackedRequest) Decision {
	wait := p.estimateWait(now, r.flow)
	if refuse, retryAfter := p.missesDeadline(now, wait, r.Deadline); refuse {
		return Decision{Reason: request.ReasonOverloaded, RetryAfter: retryAfter}
	}
	decision := Decision{EstimatedWait: wait}
	if p.queued >= c.options.MaxQueued {
		longest := p.longestFlow()
		if !longest.longerThan(r.flow) {
			return Decision{Reason: request.ReasonOverloaded, RetryAfter: max(wait, minRetryAfter)}
		}
		evicted := longest.evictionCandidate()
		p.remove(evicted)
		delete(c.items, evicted.ID)
		decision.Evicted = []Eviction{{ID: evicted.ID, RetryAfter: max(p.estimateWait(now, longest), minRetryAfter)}}
	}
	c.items[r.ID] = r
	p.enqueue(r)
	return decision
}

// Remove removes a queued request whose caller has disconnected or whose
// deadline has passed. Requests that hold a slot end with Done.
func (c *Controller) Remove(id request.ID) {
	r, ok := c.items[id]
	if !ok || r.started {
		return
	}
	delete(c.items, id)
	p := c.pools[r.Pool]
	p.remove(r)
	p.dropIdleFlows(r.flow)
}

// Done frees the slot of a request that ended after it delivered some tokens. If
// learn is true, its duration is used to measure the servers' load.
func (c *Controller) Done(now time.Duration, id request.ID, tokens int, learn bool) {
	r, ok := c.items[id]
	if !ok {
		return
	}
	if !r.started {
		c.Remove(id)
		return
	}
	delete(c.items, id)
	c.pools[r.Pool].finish(now, r, tokens, learn)
}

// StartQueued starts queued requests while slots are free, in the order of fair
// queueing, and returns them.
func (c *Controller) StartQueued(now time.Duration, poolName string) []request.ID {
	p, ok := c.pools[poolName]
	if !ok {
		return nil
	}
	var started []request.ID
	for p.queued > 0 && p.hasSlot() {
		started = append(started, p.startNext(now).ID)
	}
	return started
}

// RetryAfter estimates when a request of an account would find room in a pool.
func (c *Controller) RetryAfter(now time.Duration, poolName, account string) time.Duration {
	p, ok := c.pools[poolName]
	if !ok {
		return minRetryAfter
	}
	f, ok := p.flows[account]
	if !ok {
		f = &flow{weight: 1, heapIndex: notInHeap}
	}
	return max(p.estimateWait(now, f), minRetryAfter)
}

// ReportLoad handles a backend server's own count of running and waiting streams.
func (c *Controller) ReportLoad(now time.Duration, poolName, server string, running, waiting int) {
	if p, ok := c.pools[poolName]; ok {
		p.limiter.report(now, server, running, waiting)
	}
}

// ServerRefused counts a dispatch that a server refused before it did any work.
func (c *Controller) ServerRefused(poolName string) {
	if p, ok := c.pools[poolName]; ok {
		p.limiter.refused++
	}
}

// Pool is the state of a pool: its concurrency limit, the requests in flight,
// the queued requests, and the client accounts with a flow.
type Pool struct {
	Limit, InFlight, Queued, Accounts int
}

// Pool returns the state of a pool.
func (c *Controller) Pool(name string) Pool {
	p, ok := c.pools[name]
	if !ok {
		return Pool{}
	}
	return Pool{Limit: int(p.limiter.limit), InFlight: p.inFlight, Queued: p.queued, Accounts: len(p.flows)}
}

// Accounts returns the number of accounts kept in memory.
func (c *Controller) Accounts() int { return len(c.accounts.byName) }

func (c *Controller) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = newPool(c.options)
		c.pools[name] = p
	}
	return p
}

func weight(limits Limits) float64 {
	if limits.Weight <= 0 {
		return 1
	}
	return limits.Weight
}
