package relay

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/queue"
)

// addWaiting queues a request of a priority that arrived at a time.
func (d *Dispatcher) addWaiting(service string, priority int, start time.Duration) {
	q := d.admissionQueue(service)
	d.requestID++
	w := &waiter{item: queue.Item{ID: d.requestID, Priority: priority, Work: 1, Expiry: start + time.Hour}, start: start}
	q.queue.Push(start, w.item)
	q.waiting[w.item.ID] = w
}

// Guards against a page that hides for which priority requests wait, how long, and why.
func TestAdmissionShowsTheQueue(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	r.now = time.Second
	for i, priority := range []int{5, 0, 5} {
		r.d.addWaiting("llm", priority, time.Duration(i)*100*time.Millisecond)
	}
	r.d.queues["llm"].fail(900*time.Millisecond, backends.ErrFull)
	state := r.d.Admission()
	r.Expect(state.Services).To(HaveLen(1))
	r.Expect(state.Services[0].Queue).To(Equal(QueueState{
		Requests: 3, ByPriority: []PriorityState{{Priority: 0, Requests: 1}, {Priority: 5, Requests: 2}}, OldestWaitMS: 1000,
		LastFailure: backends.ErrFull.Error(), LastFailureAgoMS: 100,
	}))
}

// Guards against a page that doesn't tell why requests start in another data centre, and against a
// demand that is unknown and shown as none.
func TestAdmissionShowsTheDivisionAndItsInputs(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	r.d.admissionQueue("llm")
	for range 20 {
		r.now += 250 * time.Millisecond
		r.tell(1.8)
	}
	division := r.d.Admission().Services[0].Division
	r.Expect(division.Elsewhere).To(HaveLen(1))
	r.Expect(division.Elsewhere[0].DataCentre).To(Equal("b"))
	r.Expect(division.Elsewhere[0].Fraction).To(BeNumerically("~", 0.5, 0.06))
	r.Expect(division.Sites).To(HaveLen(2))
	r.Expect(*division.Sites[0].Demand).To(BeNumerically("~", 1.8*r.capacity, 0.05*r.capacity))
	r.Expect(division.Sites[0].Capacity).To(BeNumerically("~", r.capacity, 0.01*r.capacity))
}

// Guards against a page that grows without bound, and one that fails for a value that JSON can't express.
func TestAdmissionIsBounded(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	for service := range 10 * maxSnapshotServices {
		name := fmt.Sprint("service-", service)
		for priority := range 10 * maxSnapshotPriorities {
			r.d.addWaiting(name, priority, 0)
		}
		r.d.queues[name].fail(0, fmt.Errorf("%s", strings.Repeat("x", 100*maxReasonBytes)))
	}
	r.d.addWaiting("service-77", 0, 0)
	state := r.d.Admission()
	r.Expect(state.Services).To(HaveLen(maxSnapshotServices))
	r.Expect(state.OmittedServices).To(Equal(9 * maxSnapshotServices))
	r.Expect(state.Services[0].Service).To(Equal("service-77"), "the longest queue")
	text, err := json.Marshal(state)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(len(text)).To(BeNumerically("<", 150_000))
	for _, value := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		_, err := json.Marshal(finite(value))
		r.Expect(err).NotTo(HaveOccurred())
	}
}

// BenchmarkAdmission is the time for which a fetch of the page holds the dispatcher's lock, with 4,000
// requests that wait.
func BenchmarkAdmission(b *testing.B) {
	d := NewDispatcher(func() time.Duration { return time.Second }, nil)
	for i := range 4000 {
		d.addWaiting("llm", i%4, time.Duration(i))
	}
	for b.Loop() {
		d.Admission()
	}
}
