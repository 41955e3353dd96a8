package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/queue"
)

// Guards against a log line for each request while a service is at the edge of its capacity and
// requests wait for a moment again and again, and against a beginning whose end is never logged.
func TestQueueLinesAreAtLeastASecondApart(t *testing.T) {
	g := NewWithT(t)
	var l queueLog
	var begins, ends []time.Duration
	for now := 10 * time.Millisecond; now < 10*time.Second; now += 10 * time.Millisecond {
		waiting := int(now/(10*time.Millisecond)) % 2
		if !l.observe(now, waiting) {
			continue
		}
		if l.began {
			begins = append(begins, now)
		} else {
			ends = append(ends, now)
		}
	}
	g.Expect(len(begins)).To(BeNumerically("~", 10, 1))
	g.Expect(len(begins) - len(ends)).To(BeElementOf(0, 1))
	for i := 1; i < len(ends); i++ {
		g.Expect(ends[i] - ends[i-1]).To(BeNumerically(">=", queueLogInterval))
		g.Expect(begins[i] - begins[i-1]).To(BeNumerically(">=", queueLogInterval))
	}
}

// Guards against a queue that lasts and is never logged since it began in the second after the last one.
func TestAQueueThatLastsIsLogged(t *testing.T) {
	g := NewWithT(t)
	var l queueLog
	g.Expect(l.observe(10*time.Second, 1)).To(BeTrue())
	g.Expect(l.observe(10100*time.Millisecond, 0)).To(BeTrue())
	g.Expect(l.observe(10200*time.Millisecond, 5)).To(BeFalse())
	g.Expect(l.observe(11099*time.Millisecond, 4)).To(BeFalse())
	g.Expect(l.observe(11100*time.Millisecond, 3)).To(BeTrue())
	g.Expect(l.observe(11200*time.Millisecond, 9)).To(BeFalse())
	g.Expect(l.observe(60*time.Second, 0)).To(BeTrue())
	g.Expect(l.most).To(Equal(9))
}

// Guards against lines that don't tell what the requests wait for, how many they are and for how long.
func TestQueueLinesNameWhatIsWaitedFor(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	lines := make(chan string, 2)
	log := funcr.New(func(_, line string) { lines <- line }, funcr.Options{})
	h := New(Options{Log: log, Dispatcher: r.d, DataCentre: "a"})
	go func() { _ = h.RunQueueLog(ctx) }()
	r.d.addWaiting("llm", 0, 700*time.Millisecond)
	q := r.d.queues["llm"]
	q.fail(time.Second, backends.ErrFull)
	r.d.observeWaiting(time.Second, q)
	var line string
	r.Eventually(lines).Should(Receive(&line))
	r.Expect(line).To(And(ContainSubstring("4230"), ContainSubstring(`"service"="llm"`), ContainSubstring(backends.ErrFull.Error()),
		ContainSubstring(`"waiting"=1`), ContainSubstring(`"oldestMs"=300`)))
	clear(q.waiting)
	r.d.observeWaiting(2500*time.Millisecond, q)
	r.Eventually(lines).Should(Receive(&line))
	r.Expect(line).To(And(ContainSubstring("4231"), ContainSubstring(backends.ErrFull.Error()), ContainSubstring(`"ms"=1500`), ContainSubstring(`"most"=1`)))
}

// Guards against a log line on the limits for each request that queues behind one that a limit holds
// back: at most one a second and service is due.
func TestLimitLinesAreAtLeastASecondApart(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	r.now = time.Second
	due := 0
	enter := func(requests int) {
		for range requests {
			w := &waiter{
				item: queue.Item{Work: 300}, service: r.service, target: time.Second, limits: waitLimits{path: time.Hour, capacity: time.Hour},
				request: backends.Request{DataCentre: "a", Preferred: "a", Prompt: 800, Answer: 200},
			}
			if result, _, _ := r.d.enter(w); result.limitLogDue {
				due++
				r.Expect(strings.Contains(result.err.Error(), "starting")).To(BeTrue(), "%v", result.err)
			}
		}
	}
	enter(100)
	r.Expect(r.d.Admission().Services[0].Queue.Requests).To(BeNumerically(">", 10))
	r.Expect(due).To(Equal(1))
	r.d.mu.Lock()
	r.now += limitLogInterval
	r.d.mu.Unlock()
	enter(10)
	r.Expect(due).To(Equal(2))
}
