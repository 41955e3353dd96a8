package queue

import (
	"container/heap"
	"slices"
)

// accounts are the virtual times of the client accounts of one queue.
type accounts struct {
	// virtual is the virtual start of the request that started last.
	virtual float64
	byName  map[string]*account
}

// account is a client account that has waiting requests or work that was started lately.
type account struct {
	// finish is the end of the account's started work in virtual time.
	finish float64
	// flows are its waiting requests in each level.
	flows []*flow
}

func newAccounts() accounts { return accounts{byName: make(map[string]*account)} }

func (a *accounts) get(name string) *account {
	known, ok := a.byName[name]
	if !ok {
		known = &account{}
		a.byName[name] = known
	}
	// An account that wasn't waiting has no claim on the time before.
	if len(known.flows) == 0 {
		known.finish = max(known.finish, a.virtual)
	}
	return known
}

// charge adds started work to an account and returns its flows, whose order changes. The virtual time
// advances to the start of that work.
func (a *accounts) charge(name string, work float64) []*flow {
	known := a.get(name)
	a.virtual = max(a.virtual, known.finish)
	known.finish += max(work, 1)
	return known.flows
}

// settle forgets all accounts when no request waits: they don't compete any more.
func (a *accounts) settle() { *a = newAccounts() }

// flow is the waiting requests of one account in one level, in the order in which they start.
type flow struct {
	levelQueue *levelQueue
	account    *account
	name       string
	// claimed are those that returned at their promised time; they go before the others.
	claimed, others []*entry
	heapIndex       int
}

func (f *flow) len() int { return len(f.claimed) + len(f.others) }

func (f *flow) head() *entry {
	if len(f.claimed) > 0 {
		return f.claimed[0]
	}
	return f.others[0]
}

// levelQueue is the waiting requests of one level: a heap of accounts by their virtual times.
type levelQueue struct {
	level  level
	flows  []*flow
	byName map[string]*flow
	size   int
}

func newLevelQueue(l level) *levelQueue {
	return &levelQueue{level: l, byName: make(map[string]*flow)}
}

func (l *levelQueue) len() int { return l.size }

func (l *levelQueue) push(e *entry, accounts *accounts) {
	f, ok := l.byName[e.Account]
	if !ok {
		f = &flow{levelQueue: l, account: accounts.get(e.Account), name: e.Account}
		f.account.flows = append(f.account.flows, f)
		l.byName[e.Account] = f
		list := &f.others
		if e.Claimed {
			list = &f.claimed
		}
		*list = append(*list, e)
		heap.Push(l.heap(), f)
	} else if e.Claimed {
		f.claimed = append(f.claimed, e)
	} else {
		f.others = append(f.others, e)
	}
	e.flow = f
	l.size++
	heap.Fix(l.heap(), f.heapIndex)
}

func (l *levelQueue) remove(e *entry) {
	f := e.flow
	list := &f.others
	if e.Claimed {
		list = &f.claimed
	}
	if (*list)[0] == e {
		(*list)[0] = nil
		*list = (*list)[1:]
	} else if i := slices.Index(*list, e); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	l.size--
	if f.len() > 0 {
		heap.Fix(l.heap(), f.heapIndex)
		return
	}
	heap.Remove(l.heap(), f.heapIndex)
	delete(l.byName, f.name)
	f.account.flows = slices.DeleteFunc(f.account.flows, func(other *flow) bool { return other == f })
}

// first returns the heads of up to limit accounts in the order in which they start.
func (l *levelQueue) first(limit int) []*entry {
	entries := make([]*entry, 0, limit)
	var popped []*flow
	for len(l.flows) > 0 && len(entries) < limit {
		f, _ := heap.Pop(l.heap()).(*flow)
		popped = append(popped, f)
		entries = append(entries, f.head())
	}
	for _, f := range popped {
		heap.Push(l.heap(), f)
	}
	return entries
}

// ahead returns the number of waiting requests that start before a new one of the level.
func (l *levelQueue) ahead(item Item) int {
	if l.size == 0 {
		return 0
	}
	own := 0
	if f, ok := l.byName[item.Account]; ok {
		own = f.len()
		if item.Claimed {
			own = len(f.claimed)
		}
	}
	ahead := own
	for name, f := range l.byName {
		if name != item.Account {
			ahead += min(f.len(), own+1)
		}
	}
	return ahead
}

func (l *levelQueue) heap() *flowHeap { return (*flowHeap)(l) }

// flowHeap is a levelQueue as a heap of its accounts: the one with the least virtual time first.
type flowHeap levelQueue

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if a.account.finish != b.account.finish {
		return a.account.finish < b.account.finish
	}
	return a.head().sequence < b.head().sequence
}

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex, h.flows[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f, _ := x.(*flow)
	f.heapIndex = len(h.flows)
	h.flows = append(h.flows, f)
}

func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}

// entryHeap orders entries by less and keeps their indices.
type entryHeap struct {
	entries []*entry
	less    func(a, b *entry) bool
	index   func(*entry) *int
}

func (h *entryHeap) Len() int           { return len(h.entries) }
func (h *entryHeap) Less(i, j int) bool { return h.less(h.entries[i], h.entries[j]) }

func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	*h.index(h.entries[i]), *h.index(h.entries[j]) = i, j
}

func (h *entryHeap) Push(x any) {
	e, _ := x.(*entry)
	*h.index(e) = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	*h.index(e) = -1
	return e
}
