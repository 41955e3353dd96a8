package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/admit"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

const pool = "model/m"

// engine is a fake engine: a fixed number of slots, a fixed service time, and a
// queue of its own for the other streams.
type engine struct {
	slots       int
	serviceTime time.Duration
	tokens      int
	running     []completion
	waiting     []request.ID
}

type completion struct {
	at time.Duration
	id request.ID
}

func (e *engine) start(now time.Duration, id request.ID) {
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, id)
		return
	}
	e.running = append(e.running, completion{now + e.serviceTime, id})
}

// completeUntil ends the streams that are due, oldest first.
func (e *engine) completeUntil(now time.Duration, done func(at time.Duration, id request.ID)) {
	for len(e.running) > 0 && e.running[0].at <= now {
		first := e.running[0]
		e.running = e.running[1:]
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.start(first.at, next)
		}
		done(first.at, first.id)
	}
}

// loadTest runs a controller in front of the fake engine.
type loadTest struct {
	controller  *admit.Controller
	engine      engine
	reportsLoad bool
	arrived     map[request.ID]time.Duration
	account     map[request.ID]string
	waits       map[string][]time.Duration
	refused     map[string]int
	done        int
}

func newLoadTest(options admit.Options, e engine) *loadTest {
	l := &loadTest{
		controller: admit.New(options), engine: e,
		arrived: map[request.ID]time.Duration{}, account: map[request.ID]string{},
		waits: map[string][]time.Duration{}, refused: map[string]int{},
	}
	l.controller.SetServers(pool, 1)
	return l
}

func (l *loadTest) begin(now time.Duration, id request.ID) {
	name := l.account[id]
	l.waits[name] = append(l.waits[name], now-l.arrived[id])
	l.engine.start(now, id)
}

func (l *loadTest) arrive(now time.Duration, id request.ID, account string, deadline time.Duration) {
	l.advance(now)
	l.arrived[id], l.account[id] = now, account
	item := admit.Item{ID: id, Account: account, Pool: pool, Deadline: now + deadline}
	decision := l.controller.Offer(now, item, admit.Limits{})
	for _, evicted := range decision.Evicted {
		l.refused[l.account[evicted.ID]]++
	}
	switch {
	case decision.Start:
		l.begin(now, id)
	case decision.Reason != "":
		l.refused[account]++
	}
}

func (l *loadTest) advance(now time.Duration) {
	l.engine.completeUntil(now, func(at time.Duration, id request.ID) {
		l.done++
		if l.reportsLoad {
			l.controller.ReportLoad(at, pool, "s1", len(l.engine.running), len(l.engine.waiting))
		}
		l.controller.Done(at, id, l.engine.tokens, true)
		for _, next := range l.controller.StartQueued(at, pool) {
			l.begin(at, next)
		}
	})
}

// Guards against starvation of small accounts, by the order of the queue or by
// its limit: for a minute one account sends twelve times the servers' capacity,
// and ten small accounts send one request a second each.
func TestLargeAccountDoesNotStarveSmallAccounts(t *testing.T) {
	g := NewWithT(t)
	options := admit.Options{PerServer: 16, FloorPerServer: 16, MaxLimit: 16, MaxQueued: 64}
	l := newLoadTest(options, engine{slots: 16, serviceTime: 400 * time.Millisecond, tokens: 20})
	for i := range 60 * 480 {
		now := time.Duration(i) * time.Second / 480
		l.arrive(now, request.ID(fmt.Sprint("big-", i)), "big", time.Minute)
		if i%48 == 0 {
			l.arrive(now, request.ID(fmt.Sprint("small-", i)), fmt.Sprint("small-", i/48%10), time.Minute)
		}
	}
	l.advance(time.Minute + time.Second)
	g.Expect(l.refused["big"]).To(BeNumerically(">", 20000))
	for i := range 10 {
		name := fmt.Sprint("small-", i)
		g.Expect(l.refused[name]).To(BeZero(), name)
		g.Expect(l.waits[name]).To(HaveLen(60), name)
		g.Expect(slices.Max(l.waits[name])).To(BeNumerically("<=", 400*time.Millisecond), name)
	}
	g.Expect(len(l.waits["big"])).To(BeNumerically(">", 60*30*9/10), "the large account gets the rest of 40 a second")
}

// Guards against lost throughput or long engine queues under overload: 1.2 times
// the engine's capacity is offered for two minutes, and the limit starts far too
// low or far too high.
func TestLimitConvergesToServerCapacity(t *testing.T) {
	for name, start := range map[string]int{"too low": 8, "too high": 400} {
		for _, report := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", reported ", report), func(t *testing.T) {
				g := NewWithT(t)
				l := newLoadTest(admit.Options{PerServer: start}, engine{slots: 64, serviceTime: time.Second, tokens: 50})
				l.reportsLoad = report
				const perSecond = 77 // 1.2 times 64 slots of a second
				half := 0
				for i := range 120 * perSecond {
					now := time.Duration(i) * time.Second / perSecond
					if now < time.Minute {
						half = l.done
					}
					l.arrive(now, request.ID(fmt.Sprint(i)), "a", 30*time.Second)
				}
				utilisation := float64(l.done-half) / (60 * 64)
				limit := l.controller.Pool(pool).Limit
				t.Logf("used %.3f of the capacity, limit %d for 64 slots", utilisation, limit)
				g.Expect(utilisation).To(BeNumerically(">=", 0.95))
				g.Expect(limit).To(BeNumerically("<=", 3*64))
			})
		}
	}
}

// Guards against requests that are queued past their deadline, and against a
// Retry-After that is too short: the queue takes ten seconds to drain, and the
// request has five.
func TestRetryAfterPredictsFreeCapacity(t *testing.T) {
	g := NewWithT(t)
	options := admit.Options{PerServer: 8, FloorPerServer: 8, MaxLimit: 8}
	l := newLoadTest(options, engine{slots: 8, serviceTime: 500 * time.Millisecond, tokens: 10})
	// 16 requests a second are served. Let the rate be measured, then queue 160
	// more.
	for i := range 20 * 16 {
		l.arrive(time.Duration(i)*time.Second/16, request.ID(fmt.Sprint("warm-", i)), "a", time.Minute)
	}
	for i := range 160 {
		l.arrive(20*time.Second, request.ID(fmt.Sprint("queue-", i)), "a", time.Minute)
	}
	item := admit.Item{ID: "late", Account: "a", Pool: pool, Deadline: 25 * time.Second}
	decision := l.controller.Offer(20*time.Second, item, admit.Limits{})
	g.Expect(decision.Reason).To(Equal(request.ReasonOverloaded))
	g.Expect(decision.RetryAfter).To(BeNumerically("~", 5500*time.Millisecond, time.Second))

	retryAt := 20*time.Second + decision.RetryAfter
	l.advance(retryAt)
	item.Deadline = retryAt + 5*time.Second
	decision = l.controller.Offer(retryAt, item, admit.Limits{})
	g.Expect(decision.Reason).To(BeEmpty(), "it is admitted after Retry-After")
}

// Guards against granting the whole rate limit on every VM, or much less than
// the limit in total: an account limited to 90 a second sends 200 a second,
// spread unevenly over three VMs and then all to one.
func TestRateLimitIsEnforcedAcrossVMs(t *testing.T) {
	g := NewWithT(t)
	limits := admit.Limits{PerSecond: 90, Burst: 30}
	run := func(shares [3]int) float64 {
		vms := [3]*admit.Controller{admit.New(admit.Options{}), admit.New(admit.Options{}), admit.New(admit.Options{})}
		admitted := 0
		for i := range 60 * 200 {
			now := time.Duration(i) * time.Second / 200
			if i%200 == 0 {
				exchangeUsage(now, vms)
			}
			vm := 0
			for at := i % 10; at >= shares[vm]; vm++ {
				at -= shares[vm]
			}
			id := request.ID(fmt.Sprint(i))
			if vms[vm].Offer(now, admit.Item{ID: id, Account: "a", Pool: pool, Deadline: time.Hour}, limits).Start {
				vms[vm].Done(now, id, 1, false)
				if now >= 20*time.Second {
					admitted++
				}
			}
		}
		return float64(admitted) / 40
	}
	for _, shares := range [][3]int{{4, 3, 3}, {7, 2, 1}, {10, 0, 0}} {
		rate := run(shares)
		t.Logf("spread %v: %.1f a second of 90", shares, rate)
		g.Expect(rate).To(BeNumerically("~", 90, 9), "%v", shares)
	}
}

func exchangeUsage(now time.Duration, vms [3]*admit.Controller) {
	var rates [3]float64
	total := 0.0
	for i, vm := range vms {
		for _, r := range vm.LimitedRates(now, 10) {
			rates[i] += r.PerSecond
		}
		total += rates[i]
	}
	for i, vm := range vms {
		vm.SetRemoteRates(now, len(vms), map[string]float64{"a": total - rates[i]})
	}
}

// Guards against memory growing with every account that ever called: 31,000
// accounts call once while one stays active.
func TestIdleAccountsAreEvicted(t *testing.T) {
	g := NewWithT(t)
	c := admit.New(admit.Options{MaxLimit: 8192, PerServer: 8192})
	now := time.Duration(0)
	sendOne := func(account string, i int) {
		id := request.ID(fmt.Sprint(account, i))
		g.Expect(c.Offer(now, admit.Item{ID: id, Account: account, Pool: pool, Deadline: time.Hour}, admit.Limits{}).Start).To(BeTrue())
		c.Done(now, id, 10, true)
	}
	longRunning := admit.Item{ID: "held", Account: "holder", Pool: pool, Deadline: time.Hour}
	g.Expect(c.Offer(now, longRunning, admit.Limits{}).Start).To(BeTrue())
	for i := range 31000 {
		sendOne(fmt.Sprint("account-", i), i)
		now += time.Millisecond
	}
	g.Expect(c.Accounts()).To(Equal(31001))
	for i := range 40000 {
		sendOne("steady", i)
		now += 5 * time.Millisecond
	}
	g.Expect(c.Accounts()).To(Equal(1))
	g.Expect(c.Pool(pool).Accounts).To(BeNumerically("<=", 2))
}

// Guards against sharing by requests instead of by work: two accounts of weights
// 1 and 3 always have queued requests, and the answers of the first are four
// times as long.
func TestPoolIsSharedByWorkAndWeight(t *testing.T) {
	g := NewWithT(t)
	c := admit.New(admit.Options{PerServer: 8, FloorPerServer: 8, MaxLimit: 8})
	weights := map[string]float64{"light": 1, "heavy": 3}
	tokens := map[string]int{"light": 400, "heavy": 100}
	accounts := map[request.ID]string{}
	now := time.Duration(0)
	var running []request.ID
	offer := func(i int, account string) {
		id := request.ID(fmt.Sprint(account, i))
		accounts[id] = account
		item := admit.Item{ID: id, Account: account, Pool: pool, Deadline: 24 * time.Hour}
		if c.Offer(now, item, admit.Limits{Weight: weights[account]}).Start {
			running = append(running, id)
		}
	}
	work := map[string]int{}
	for i := range 20000 {
		now += 10 * time.Millisecond
		offer(i, "light")
		offer(i, "heavy")
		id := running[0]
		running = running[1:]
		if i > 2000 {
			work[accounts[id]] += tokens[accounts[id]]
		}
		c.Done(now, id, tokens[accounts[id]], true)
		running = append(running, c.StartQueued(now, pool)...)
	}
	g.Expect(float64(work["heavy"]) / float64(work["light"])).To(BeNumerically("~", 3, 0.3))
}
