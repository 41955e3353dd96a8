package queue_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/queue"
)

// Guards against requests of a flood that keep the places they took before the VM knew of it, and against
// a change of the mark that reorders an account's requests or makes old ones young.
func TestOverShareOfAWaitingRequestChanges(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	for id, account := range []string{"", "flood", "flood", "usual", "flood"} {
		if id > 0 {
			q.Push(0, queue.Item{ID: uint64(id), Account: account, Work: 1, Due: time.Second, Expiry: 2 * time.Second})
		}
	}
	mark := func(over bool) {
		for _, id := range []uint64{1, 2, 4} {
			q.SetOverShare(id, over)
		}
	}
	q.SetOverShare(99, true)
	mark(true)
	g.Expect(q.Next(0, 1)[0].ID).To(BeNumerically("==", 3), "before older requests of the flood")
	g.Expect(q.Next(0, 1)[0].OverShare).To(BeFalse())
	mark(false)
	g.Expect(q.Next(0, 1)[0].ID).To(BeNumerically("==", 1), "as before")
	mark(true)
	var order []uint64
	for q.Len() > 0 {
		item := q.Next(0, 1)[0]
		order = append(order, item.ID)
		q.Started(item)
		g.Expect(q.Remove(item.ID)).To(BeTrue())
	}
	g.Expect(order).To(Equal([]uint64{3, 1, 2, 4}))
	g.Expect(q.Expired(time.Hour)).To(BeEmpty())
}
