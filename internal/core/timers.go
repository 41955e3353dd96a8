package core

import (
	"container/heap"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

// timers holds the timeouts of waiting requests and the Tick that was asked for.
type timers struct {
	// scheduledTick is the earliest time for which a Tick was asked of the VM. 0
	// means none.
	scheduledTick Time
	// requestTimers has the timeouts of waiting requests, earliest first. An entry
	// whose time no longer equals its request's Wake is stale and skipped.
	requestTimers timerHeap
}

// scheduleTick asks the VM for a Tick at the given time, unless one is already
// scheduled no later.
func (m *Machine) scheduleTick(at Time) []Action {
	at = max(at, 1)
	if m.timers.scheduledTick != 0 && m.timers.scheduledTick <= at {
		return nil
	}
	m.timers.scheduledTick = at
	return []Action{WakeAt{At: at}}
}

// waitUntil sets the request's timer: it waits for an event or until at,
// whichever comes first.
func (m *Machine) waitUntil(r *request.Request, at Time) {
	r.WaitUntil = max(at, 1)
	heap.Push(&m.timers.requestTimers, timerEntry{at: r.WaitUntil, request: r.ID})
}

// popExpired removes one expired timer and returns its request, or false if no
// timer has expired.
func (m *Machine) popExpired(now Time) (*request.Request, bool) {
	queue := &m.timers.requestTimers
	for len(*queue) > 0 && (*queue)[0].at <= now {
		entry := heap.Pop(queue).(timerEntry)
		r, ok := m.requests[entry.request]
		if ok && r.WaitUntil == entry.at {
			r.WaitUntil = 0
			return r, true
		}
	}
	return nil, false
}

// earliestTimer returns the time at which the next request timer expires, or
// false if none is set.
func (m *Machine) earliestTimer() (Time, bool) {
	queue := &m.timers.requestTimers
	for len(*queue) > 0 {
		first := (*queue)[0]
		if r, ok := m.requests[first.request]; ok && r.WaitUntil == first.at {
			return first.at, true
		}
		heap.Pop(queue)
	}
	return 0, false
}

type timerEntry struct {
	at      Time
	request request.ID
}

// timerHeap implements heap.Interface, ordered by time and then by request.
type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].request < h[j].request
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timerEntry)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	*h = (*h)[:last]
	return entry
}
