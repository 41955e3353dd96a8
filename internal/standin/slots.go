package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slots are the places in an engine's batch. A free place goes to the waiting
// stream of the highest priority, and among equals to the one that came first.
type slots struct {
	mu      sync.Mutex
	free    int
	arrived uint64
	waiting waiters
}

type waiter struct {
	priority int
	order    uint64
	granted  chan struct{}
	index    int
}

func newSlots(count int) *slots { return &slots{free: count} }

// acquire waits for a place.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.arrived++
	w := &waiter{priority: priority, order: s.arrived, granted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon takes a waiter back; a place granted meanwhile goes to the next.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		return
	}
	s.pass()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass()
}

func (s *slots) pass() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next, _ := heap.Pop(&s.waiting).(*waiter)
	close(next.granted)
}

// waiters is a heap of those who wait.
type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].order < w[j].order
}

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	added, _ := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	taken := (*w)[last]
	taken.index = -1
	*w = (*w)[:last]
	return taken
}
