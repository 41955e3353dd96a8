package admit

import (
	"container/heap"
	"time"
)

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = time.Second

// retryMargin is applied to the Retry-After of queued work, since the drain rate
// that it is based on is measured and may fall.
const retryMargin = 1.1

// promptTokenCost is the work of a prompt token relative to a generated token:
// engines process many prompt tokens at a time.
const promptTokenCost = 1.0 / 8

// sweepPerFinish is the number of flows checked for idleness each time a request
// ends.
const sweepPerFinish = 2

// meanSampleWeight is the weight of a new sample in the pool's moving averages.
const meanSampleWeight = 0.05

// pool is the requests that compete for the same backend servers. Queued
// requests start in the order of start-time fair queueing: each flow's next
// request has a virtual start time, which advances by work divided by weight,
// and the earliest goes first. Work is estimated at the start and corrected at
// the end, since the length of an answer isn't known before.
type pool struct {
	limiter limiter
	flows   map[string]*flow
	// flowList has all flows, for the sweep that evicts idle ones.
	flowList   []*flow
	sweepIndex int
	backlog    flowHeap
	inFlight   int
	queued     int
	// backlogWeight is the sum of the weights of the flows in backlog.
	backlogWeight float64
	// virtualTime is the virtual start time of the request that started last.
	virtualTime float64
	// completions is the rate at which requests end, which is the drain rate of
	// the queue.
	completions rate
	// meanTokens and meanTime are moving averages over finished requests.
	meanTokens float64
	meanTime   time.Duration
}

func newPool(options Options) *pool {
	return &pool{limiter: newLimiter(options), flows: make(map[string]*flow)}
}

func (p *pool) hasSlot() bool { return p.inFlight < int(p.limiter.limit) }

// estimateCost estimates the work of a request, in generated tokens.
func (p *pool) estimateCost(i Item) float64 {
	answer := p.meanTokens
	if i.MaxTokens > 0 {
		answer = min(answer, float64(i.MaxTokens))
	}
	return requestCost(i, answer)
}

func requestCost(i Item, tokens float64) float64 {
	return 1 + promptTokenCost*float64(i.PromptTokens) + tokens
}

func (p *pool) flow(account string, weight float64) *flow {
	f, ok := p.flows[account]
	if !ok {
		f = &flow{account: account, heapIndex: notInHeap, listIndex: len(p.flowList)}
		p.flows[account] = f
		p.flowList = append(p.flowList, f)
	}
	if f.heapIndex != notInHeap {
		p.backlogWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

// startDirectly starts a request without queueing it.
func (p *pool) startDirectly(now time.Duration, r *trackedRequest) {
	r.flow.virtualStart = max(p.virtualTime, r.flow.virtualFinish)
	p.start(now, r)
}

func (p *pool) start(now time.Duration, r *trackedRequest) {
	f := r.flow
	p.virtualTime = max(p.virtualTime, f.virtualStart)
	f.virtualFinish = f.virtualStart + r.cost/f.weight
	f.inFlight++
	p.inFlight++
	r.started = true
	r.startedAt = now
	if !p.hasSlot() {
		p.limiter.saturated = true
	}
}

func (p *pool) enqueue(r *trackedRequest) {
	f := r.flow
	heap.Push(&f.queue, r)
	p.queued++
	if f.heapIndex != notInHeap {
		return
	}
	f.virtualStart = max(p.virtualTime, f.virtualFinish)
	heap.Push(&p.backlog, f)
	p.backlogWeight += f.weight
}

// startNext starts the next request in the order of fair queueing.
func (p *pool) startNext(now time.Duration) *trackedRequest {
	f := p.backlog[0]
	r := heap.Pop(&f.queue).(*trackedRequest)
	p.queued--
	p.start(now, r)
	p.requeue(f)
	return r
}

// requeue updates the position of a flow in the backlog, or removes it if it has
// no queued request.
func (p *pool) requeue(f *flow) {
	if len(f.queue) == 0 {
		heap.Remove(&p.backlog, f.heapIndex)
		p.backlogWeight -= f.weight
		if len(p.backlog) == 0 {
			// The sum of the weights may not return exactly to zero in floating
			// point.
			p.backlogWeight = 0
		}
		return
	}
	f.virtualStart = max(p.virtualTime, f.virtualFinish)
	heap.Fix(&p.backlog, f.heapIndex)
}

func (p *pool) remove(r *trackedRequest) {
	heap.Remove(&r.flow.queue, r.heapIndex)
	p.queued--
	p.requeue(r.flow)
}

func (p *pool) finish(now time.Duration, r *trackedRequest, tokens int, learn bool) {
	f := r.flow
	p.inFlight--
	f.inFlight--
	p.completions.add(now)
	// The estimate is corrected, so that an account with long answers does not
	// get more than its share.
	f.virtualFinish += (requestCost(r.Item, float64(tokens)) - r.cost) / f.weight
	if f.heapIndex != notInHeap {
		p.requeue(f)
	}
	if learn {
		p.updateMeans(now, r, tokens)
	}
	p.dropIdleFlows(f)
}

func (p *pool) updateMeans(now time.Duration, r *trackedRequest, tokens int) {
	duration := now - r.startedAt
	p.meanTokens += meanSampleWeight * (float64(tokens) - p.meanTokens)
	if p.meanTime == 0 {
		p.meanTime = duration
	}
	p.meanTime += time.Duration(meanSampleWeight * float64(duration-p.meanTime))
	p.limiter.sample(now, duration, requestCost(r.Item, float64(tokens)))
}

// dropIdleFlows evicts a flow that is idle and has no work left to be charged,
// so that memory is used for active accounts only. When the pool is idle, all
// flows are evicted and their charges dropped.
func (p *pool) dropIdleFlows(f *flow) {
	if p.inFlight == 0 && p.queued == 0 {
		clear(p.flows)
		p.flowList = nil
		p.virtualTime = 0
		return
	}
	p.dropIfIdle(f)
	// A flow's charges expire while others are served. Without the sweep it would
	// stay in memory until the account's next request.
	for range sweepPerFinish {
		if len(p.flowList) == 0 {
			return
		}
		p.sweepIndex = (p.sweepIndex + 1) % len(p.flowList)
		p.dropIfIdle(p.flowList[p.sweepIndex])
	}
}

func (p *pool) dropIfIdle(f *flow) {
	if f.inFlight > 0 || len(f.queue) > 0 || f.virtualFinish > p.virtualTime || p.flows[f.account] != f {
		return
	}
	delete(p.flows, f.account)
	last := p.flowList[len(p.flowList)-1]
	p.flowList[f.listIndex] = last
	last.listIndex = f.listIndex
	p.flowList[len(p.flowList)-1] = nil
	p.flowList = p.flowList[:len(p.flowList)-1]
}

// estimateWait estimates how long another request of a flow would wait for a
// slot: its position in the flow's queue, served at the flow's share of the
// measured drain rate, but at most as long as the whole queue takes. 0 means
// unknown.
func (p *pool) estimateWait(now time.Duration, f *flow) time.Duration {
	drain := p.completions.perSecond(now)
	if drain <= 0 {
		return 0
	}
	weights := p.backlogWeight
	if f.heapIndex == notInHeap {
		weights += f.weight
	}
	own := float64(len(f.queue)+1) * weights / f.weight
	ahead := min(own, float64(p.queued+1))
	return time.Duration(ahead / drain * float64(time.Second))
}

// missesDeadline reports whether a request with this wait would miss its
// deadline, and after which time a retry would not. A request with an unknown
// wait is queued: its deadline still ends it.
func (p *pool) missesDeadline(now, wait, deadline time.Duration) (bool, time.Duration) {
	budget := deadline - now - p.meanTime
	if wait == 0 || wait <= budget {
		return false, 0
	}
	return true, max(time.Duration(retryMargin*float64(wait-max(budget, 0))), minRetryAfter)
}

// longestFlow returns the flow with the most queued requests relative to its
// weight.
func (p *pool) longestFlow() *flow {
	longest := p.backlog[0]
	for _, f := range p.backlog[1:] {
		if f.longerThan(longest) {
			longest = f
		}
	}
	return longest
}
