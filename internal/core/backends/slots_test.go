package backends_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// queueSimulation simulates the first servers of the paths of one data centre and their queues. VMs
// publish their loads four times a second. Time advances in steps of 10 ms.
type queueSimulation struct {
	g      *WithT
	fleets []*backends.Fleet
	slots  int
	// running counts the requests at each first server; waiting are those in its queue, in order.
	running map[string]int
	waiting map[string][]func(now time.Duration)
	ends    map[time.Duration][]func()
	// duration is how long a request takes once it has a slot.
	duration func(now time.Duration) time.Duration
	// started counts the requests by the second in which they arrived, and late those that waited
	// for a slot for longer than the target.
	started, late map[int]int
}

const (
	queueStep   = 10 * time.Millisecond
	queueTarget = 500 * time.Millisecond
)

func newQueueSimulation(g *WithT, vms, slots int) *queueSimulation {
	q := &queueSimulation{
		g: g, slots: slots, running: make(map[string]int), waiting: make(map[string][]func(time.Duration)),
		ends: make(map[time.Duration][]func()), started: make(map[int]int), late: make(map[int]int),
	}
	for range vms {
		f := backends.New()
		// Three copies of the layers: a fast one and two slow ones.
		for replica, card := range []string{"fast", "slow", "slow"} {
			for part := range 4 {
				s := server(fmt.Sprintf("s%d%d", replica, part), "a", card, part*20, part*20+20)
				s.Slots = slots
				f.Put(0, s)
			}
		}
		q.fleets = append(q.fleets, f)
	}
	return q
}

func (q *queueSimulation) run(perSecond float64, span time.Duration) {
	due, next := 0.0, 0
	for now := queueStep; now <= span; now += queueStep {
		for _, end := range q.ends[now] {
			end()
		}
		if now%(250*time.Millisecond) == 0 {
			q.publish()
		}
		for due += perSecond * queueStep.Seconds(); due >= 1; due-- {
			q.startRequest(now, q.fleets[next%len(q.fleets)])
			next++
		}
	}
}

// publish lets all VMs publish their loads and read those of the others.
func (q *queueSimulation) publish() {
	published := make([]map[string]backends.Usage, len(q.fleets))
	for i, f := range q.fleets {
		published[i] = f.PublishUsage()
	}
	for i, f := range q.fleets {
		f.SetRemoteUsage(sumExcept(published, i), len(q.fleets)-1)
	}
}

func (q *queueSimulation) startRequest(now time.Duration, f *backends.Fleet) {
	r := request()
	choice, err := f.Path(now, service(), r)
	q.g.Expect(err).NotTo(HaveOccurred())
	load := choice.Load(r.Prompt + r.Answer)
	f.AddLoad(load)
	first, second := choice.First.ID, int(now/time.Second)
	q.started[second]++
	run := func(at time.Duration) {
		q.running[first]++
		if at-now > queueTarget {
			q.late[second]++
		}
		end := at + q.duration(at)
		q.ends[end] = append(q.ends[end], func() {
			f.RemoveLoad(load)
			q.running[first]--
			if len(q.waiting[first]) > 0 {
				next := q.waiting[first][0]
				q.waiting[first] = q.waiting[first][1:]
				next(end)
			}
		})
	}
	if q.running[first] < q.slots {
		run(now)
		return
	}
	q.waiting[first] = append(q.waiting[first], run)
}

// lateFraction is the fraction of the requests of the seconds from..to that waited for too long.
func (q *queueSimulation) lateFraction(from, to int) float64 {
	started, late := 0, 0
	for second := from; second < to; second++ {
		started, late = started+q.started[second], late+q.late[second]
	}
	return float64(late) / float64(max(started, 1))
}

// Guards against late first events that persist after their cause is over: servers are slow for
// four seconds, and more requests run at once than the first server of the fastest path has slots,
// though it has memory for them. If memory alone decides, requests go on to a server whose queue
// can't get shorter at that rate, beside two others with the first layers.
func TestFirstServerQueueDrainsAfterASlowdown(t *testing.T) {
	g := NewWithT(t)
	q := newQueueSimulation(g, 30, 48)
	q.duration = func(now time.Duration) time.Duration {
		if now > 8*time.Second && now < 12*time.Second {
			return 6 * time.Second
		}
		return 3 * time.Second
	}
	q.run(15.5, 24*time.Second)
	t.Logf("late before the slowdown %.2f, during it %.2f, in the last six seconds %.2f", q.lateFraction(2, 8), q.lateFraction(8, 12), q.lateFraction(18, 24))
	g.Expect(q.lateFraction(2, 8)).To(BeNumerically("<", 0.01))
	g.Expect(q.lateFraction(8, 24)).To(BeNumerically("<", 0.02))
}

// Guards against late first events in each burst: more requests arrive during one stream's duration
// than one first server has slots, and all VMs start at the first server of the fastest path.
func TestBurstUsesAllFirstServers(t *testing.T) {
	g := NewWithT(t)
	q := newQueueSimulation(g, 30, 48)
	q.duration = func(time.Duration) time.Duration { return 3 * time.Second }
	q.run(36, 16*time.Second)
	t.Logf("late %.2f", q.lateFraction(2, 16))
	g.Expect(q.lateFraction(2, 16)).To(BeNumerically("<", 0.02))
}

// Guards against paths that start at a server without a free slot: what queues there is given up by its
// caller, or finds no memory on the rest of its path. Many VMs fill the slots at once, each of them with
// loads of the others that are a moment old.
func TestPathsDontStartAtServersWithoutSlots(t *testing.T) {
	g := NewWithT(t)
	const vms, slots = 16, 64
	started := 0
	for range vms {
		f := backends.New()
		for part := range 4 {
			s := server(fmt.Sprint("s", part), "a", "fast", part*20, part*20+20)
			s.Slots = slots
			f.Put(0, s)
		}
		f.SetLiveVMs(vms)
		f.SetRemoteUsage(nil, vms-1)
		f.PublishUsage()
		small := request() // memory is not the limit
		small.Prompt, small.Answer = 1, 1
		for {
			choice, err := f.Path(0, service(), small)
			if err != nil {
				g.Expect(err).To(MatchError(backends.ErrFull))
				break
			}
			f.AddLoad(choice.Load(1))
			started++
		}
	}
	g.Expect(started).To(BeNumerically("~", slots, vms), "at most one more for each VM")
}
