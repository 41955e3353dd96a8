package queue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/queue"
)

const ms = time.Millisecond

// item returns a request of an account that is due after 350 ms and expires after 1.5 s.
func item(id uint64, account string, priority int) queue.Item {
	return queue.Item{ID: id, Account: account, Priority: priority, Work: 100, Due: 350 * ms, Expiry: 1500 * ms}
}

// startAll starts all waiting requests in order and returns their IDs.
func startAll(q *queue.Queue, now time.Duration) []uint64 {
	var ids []uint64
	for q.Len() > 0 {
		next := q.Next(now, 1)[0]
		q.Remove(next.ID)
		q.Started(next)
		ids = append(ids, next.ID)
	}
	return ids
}

// Guards against a request that arrives later and is less urgent starting before others.
func TestOrder(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	late := item(1, "a", 0)
	late.Due = 10 * ms
	over := item(2, "b", 1)
	over.OverShare = true
	claimed := item(5, "a", 1)
	claimed.Claimed = true
	resume := item(7, "b", 3)
	resume.Resume, resume.Due = true, 0
	for _, next := range []queue.Item{late, over, item(3, "a", 2), item(4, "a", 1), claimed, item(6, "a", 0), resume} {
		q.Push(0, next)
	}
	g.Expect(startAll(q, 20*ms)).To(Equal([]uint64{7, 6, 5, 4, 2, 3, 1}))
}

// Guards against a request that became late while it waited delaying those that can be in time.
func TestRequestsThatBecomeLateGoLast(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	q.Push(0, item(1, "a", 0))
	fresh := item(2, "a", 1)
	fresh.Due = 700 * ms
	q.Push(300*ms, fresh)
	g.Expect(startAll(q, 400*ms)).To(Equal([]uint64{2, 1}))
}

// Guards against the requests of one account that floods delaying those of the others: they wait
// behind its own.
func TestAFloodWaitsBehindItsOwn(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	for id := range uint64(400) {
		q.Push(0, item(id+1, "flood", 1))
	}
	for id := range uint64(4) {
		q.Push(0, item(1001+id, fmt.Sprint("account-", id), 1))
	}
	g.Expect(q.Ahead(0, item(2000, "account-9", 1))).To(Equal(5), "one of each account")
	g.Expect(q.Ahead(0, item(2000, "flood", 1))).To(Equal(404))
	g.Expect(startAll(q, 0)[:8]).To(ContainElements(uint64(1001), uint64(1002), uint64(1003), uint64(1004)))
}

// Guards against an account with large requests getting more work done than others.
func TestAccountsShareByWork(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	for id := range uint64(300) {
		large := item(id+1, "large", 1)
		large.Work = 400
		q.Push(0, large)
		q.Push(0, item(id+1001, "small", 1))
	}
	small := 0
	for _, id := range startAll(q, 0)[:100] {
		if id > 1000 {
			small++
		}
	}
	g.Expect(small).To(BeNumerically("~", 80, 15), "a large request is as much work as four small ones")
}

// Guards against urgent requests that arrive as fast as requests start leaving the others none.
func TestNothingStarves(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	q.Push(0, item(1, "a", 5))
	for id := range uint64(100) {
		q.Push(0, item(id+2, "a", 0))
		next := q.Next(0, 1)[0]
		q.Remove(next.ID)
		q.Started(next)
		if next.ID == 1 {
			g.Expect(id).To(BeNumerically("<=", 8))
			return
		}
	}
	t.Fatal("the request never started")
}

// Guards against requests that wait beyond their limit, and against those of callers that left
// taking a place.
func TestExpiredAndRemovedRequestsDontStart(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	short := item(1, "a", 0)
	short.Expiry = 100 * ms
	q.Push(0, short)
	q.Push(0, item(2, "a", 0))
	q.Push(0, item(3, "a", 0))
	g.Expect(q.Remove(2)).To(BeTrue())
	g.Expect(q.Remove(2)).To(BeFalse())
	expired := q.Expired(100 * ms)
	g.Expect(expired).To(HaveLen(1))
	g.Expect(expired[0].ID).To(Equal(uint64(1)))
	q.SetExpiry(3, 50*ms)
	g.Expect(q.Expired(100 * ms)).To(HaveLen(1))
	g.Expect(q.Len()).To(BeZero())
	g.Expect(q.Next(0, 3)).To(BeEmpty())
}

// Guards against requests that can't be in time any more waiting in vain under an overload: while others
// that can be keep arriving they get no capacity.
func TestLateRequestsAreShedWhileOthersWait(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	claimed := item(1, "a", 0)
	claimed.Claimed = true
	q.Push(0, claimed)
	q.Push(0, item(2, "a", 0))
	q.Push(0, item(3, "b", 0))
	g.Expect(q.ShedLate(400*ms)).To(BeEmpty(), "no other request waits")
	fresh := item(4, "b", 5)
	fresh.Due = 700 * ms
	q.Push(400*ms, fresh)
	var ids []uint64
	for _, late := range q.ShedLate(400 * ms) {
		ids = append(ids, late.ID)
	}
	g.Expect(ids).To(ConsistOf(uint64(2), uint64(3)))
	g.Expect(startAll(q, 400*ms)).To(Equal([]uint64{4, 1}))
}

// Guards against a request that can't start for a reason of its own, such as its size, blocking the
// accounts behind it.
func TestNextReturnsSeveralAccounts(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	q.Push(0, item(1, "a", 0))
	q.Push(0, item(2, "a", 0))
	q.Push(0, item(3, "b", 0))
	ids := []uint64{}
	for _, next := range q.Next(0, 3) {
		ids = append(ids, next.ID)
	}
	g.Expect(ids).To(Equal([]uint64{1, 3}))
}

// An entry of a queue of 4,000 takes under 5 us from its arrival to its start.
func BenchmarkQueueOf4000(b *testing.B) {
	for b.Loop() {
		q := queue.New()
		for id := range uint64(4000) {
			q.Push(0, item(id+1, fmt.Sprint("account-", id%200), int(id%3)))
		}
		for q.Len() > 0 {
			next := q.Next(0, 3)[0]
			q.Remove(next.ID)
			q.Started(next)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/4000, "ns/entry")
}
