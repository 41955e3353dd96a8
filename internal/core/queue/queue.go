// Package queue orders the requests of one service that wait for capacity of its backend servers.
//
// Streams that have begun go first. Then come requests that can still be answered in time, by
// priority, and within a priority the accounts that are within their fair share, between which the
// queue is fair by work (start-time fair queueing). Requests that can't be answered in time any more
// follow in the same order. The queue does no I/O and reads no clock; it isn't safe for concurrent
// use. Times are durations since the VM's start.
package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// oldestInterval is the number of starts of which one goes to the request that has waited longest of
// those that can be in time. Without it, urgent requests or small accounts that arrive at the rate of
// the starts would leave the others none.
const oldestInterval = 8

// Item is a waiting request.
type Item struct {
	// ID identifies the request within the queue; it is above 0.
	ID uint64
	// Resume says that the response has begun and continues elsewhere.
	Resume bool
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Account is the client account. Empty without one.
	Account string
	// Work is the size of the request in tokens, or 1 if it has none. It must be above 0.
	Work float64
	// Due is the latest start for a response in time. 0 if the route has no latency target.
	Due time.Duration
	// Expiry is the latest start at all.
	Expiry time.Duration
	// OverShare says that the account exceeds its fair share of the service.
	OverShare bool
	// Claimed says that the request returned at the time that it was promised.
	Claimed bool
}

// late reports whether the response can't be in time any more.
func (i Item) late(now time.Duration) bool { return i.Due > 0 && now > i.Due }

// level is the part of the queue that an item belongs to; lower levels go first.
type level struct {
	fresh, late bool
	priority    int
	overShare   bool
}

func levelOf(item Item, late bool) level {
	if item.Resume {
		return level{}
	}
	return level{fresh: true, late: late, priority: item.Priority, overShare: item.OverShare}
}

func compareLevels(a, b level) int {
	return cmp.Or(compareBools(a.fresh, b.fresh), compareBools(a.late, b.late),
		cmp.Compare(a.priority, b.priority), compareBools(a.overShare, b.overShare))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// entry is an item with its position in the queue.
type entry struct {
	Item
	sequence uint64
	level    level
	flow     *flow
	// expiryIndex, ageIndex and dueIndex are the indices in the heaps of the queue, or -1.
	expiryIndex, ageIndex, dueIndex int
}

// Queue is the queue of one service. The zero value is not usable; use New.
type Queue struct {
	entries  map[uint64]*entry
	levels   []*levelQueue
	accounts accounts
	// expiries orders all entries by Expiry; ages and dues order those that aren't late and haven't
	// begun by arrival and by Due.
	expiries, ages, dues entryHeap
	sequence             uint64
	// starts counts the starts since one was last given to the oldest request, and oldest is the
	// request to which the next one was offered.
	starts int
	oldest uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		entries:  make(map[uint64]*entry),
		accounts: newAccounts(),
		expiries: entryHeap{
			less:  func(a, b *entry) bool { return a.Expiry < b.Expiry },
			index: func(e *entry) *int { return &e.expiryIndex },
		},
		ages: entryHeap{
			less:  func(a, b *entry) bool { return a.sequence < b.sequence },
			index: func(e *entry) *int { return &e.ageIndex },
		},
		dues: entryHeap{
			less:  func(a, b *entry) bool { return a.Due < b.Due },
			index: func(e *entry) *int { return &e.dueIndex },
		},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Push adds a request. Its ID must not be in the queue.
func (q *Queue) Push(now time.Duration, item Item) {
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence, expiryIndex: -1, ageIndex: -1, dueIndex: -1}
	q.entries[item.ID] = e
	heap.Push(&q.expiries, e)
	q.insert(e, item.late(now))
}

// insert adds an entry to its level.
func (q *Queue) insert(e *entry, late bool) {
	e.level = levelOf(e.Item, late)
	q.levelQueue(e.level).push(e, &q.accounts)
	if e.Resume || late {
		return
	}
	heap.Push(&q.ages, e)
	if e.Due > 0 {
		heap.Push(&q.dues, e)
	}
}

// levelQueue returns the queue of a level, which is created if necessary.
func (q *Queue) levelQueue(l level) *levelQueue {
	i, found := slices.BinarySearchFunc(q.levels, l, func(lq *levelQueue, l level) int { return compareLevels(lq.level, l) })
	if !found {
		q.levels = slices.Insert(q.levels, i, newLevelQueue(l))
	}
	return q.levels[i]
}

// Remove removes a request that started, was refused or whose caller disconnected. It reports whether
// the request was in the queue.
func (q *Queue) Remove(id uint64) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	delete(q.entries, id)
	heap.Remove(&q.expiries, e.expiryIndex)
	q.detach(e)
	if len(q.entries) == 0 {
		q.accounts.settle()
	}
	return true
}

// detach removes an entry from its level.
func (q *Queue) detach(e *entry) {
	q.levelQueue(e.level).remove(e)
	if e.ageIndex >= 0 {
		heap.Remove(&q.ages, e.ageIndex)
	}
	if e.dueIndex >= 0 {
		heap.Remove(&q.dues, e.dueIndex)
	}
}

// Started records that a request starts, whether or not it waited, and charges its account.
func (q *Queue) Started(item Item) {
	if len(q.entries) == 0 {
		return // accounts compete only while requests wait
	}
	switch {
	case item.Resume:
	case item.ID != 0 && item.ID == q.oldest:
		q.starts, q.oldest = 0, 0
	default:
		q.starts++
	}
	for _, f := range q.accounts.charge(item.Account, item.Work) {
		heap.Fix(f.levelQueue.heap(), f.heapIndex)
	}
}

// Next returns up to limit waiting requests in the order in which they are to start. The caller tries
// further ones if the first can't start for a reason of its own, such as its size.
func (q *Queue) Next(now time.Duration, limit int) []Item {
	q.demote(now)
	items := make([]Item, 0, limit)
	oldest := q.oldestDue()
	if oldest != nil {
		q.oldest = oldest.ID
		items = append(items, oldest.Item)
	}
	for _, lq := range q.levels {
		for _, e := range lq.first(limit) {
			if len(items) >= limit {
				return items
			}
			if e != oldest {
				items = append(items, e.Item)
			}
		}
	}
	return items
}

// oldestDue returns the oldest request if the next start is its, or nil. Streams that have begun go
// before it.
func (q *Queue) oldestDue() *entry {
	if q.starts < oldestInterval || len(q.ages.entries) == 0 || !q.levels[0].level.fresh && q.levels[0].len() > 0 {
		return nil
	}
	return q.ages.entries[0]
}

// demote moves the requests that can't be in time any more to the levels of late ones.
func (q *Queue) demote(now time.Duration) {
	for len(q.dues.entries) > 0 && q.dues.entries[0].late(now) {
		e := q.dues.entries[0]
		q.detach(e)
		q.insert(e, true)
	}
}

// ShedLate removes and returns the requests that can't be in time any more, while others wait that can:
// those go first, and as long as they keep arriving nothing is left. Requests that returned at their
// promised time keep their place.
func (q *Queue) ShedLate(now time.Duration) []Item {
	q.demote(now)
	if len(q.ages.entries) == 0 {
		return nil
	}
	var late []Item
	for _, lq := range q.levels {
		if !lq.level.late {
			continue
		}
		for _, f := range lq.flows {
			for _, e := range f.others {
				late = append(late, e.Item)
			}
		}
	}
	for _, item := range late {
		q.Remove(item.ID)
	}
	return late
}

// Expired removes and returns the requests that may not start any more.
func (q *Queue) Expired(now time.Duration) []Item {
	var expired []Item
	for len(q.expiries.entries) > 0 && q.expiries.entries[0].Expiry <= now {
		item := q.expiries.entries[0].Item
		q.Remove(item.ID)
		expired = append(expired, item)
	}
	return expired
}

// SetOverShare changes whether a waiting request's account exceeds its fair share. The request keeps its
// place among those of its account.
func (q *Queue) SetOverShare(id uint64, over bool) {
	if e, ok := q.entries[id]; ok && e.OverShare != over {
		q.detach(e)
		e.OverShare = over
		q.insert(e, e.level.late)
	}
}

// SetExpiry changes the latest start of a waiting request.
func (q *Queue) SetExpiry(id uint64, expiry time.Duration) {
	if e, ok := q.entries[id]; ok {
		e.Expiry = expiry
		heap.Fix(&q.expiries, e.expiryIndex)
	}
}

// Ahead returns the number of waiting requests that would start before a new one: all of lower
// levels, and of its own level its account's and of every other account as much work as its own would
// then have.
func (q *Queue) Ahead(now time.Duration, item Item) int {
	target := levelOf(item, item.late(now))
	ahead := 0
	for _, lq := range q.levels {
		switch c := compareLevels(lq.level, target); {
		case c < 0:
			ahead += lq.len()
		case c == 0:
			ahead += lq.ahead(item)
		}
	}
	return ahead
}
