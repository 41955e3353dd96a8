package promise_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/queue"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// Load of the played overload: 35 VMs before servers with 140 slots, each for half a second.
const (
	playedVMs     = 35
	slots         = 140
	serviceTime   = 500 * ms
	startsPerStep = float64(slots) / 0.5 * float64(step) / float64(time.Second)
	step          = 5 * ms
	overload      = 10.0
	overloadFor   = 8 * time.Second
	queueFor      = 1500 * ms
	timelyFor     = 420 * ms
	callerTime    = 9 * time.Second
	tallyInterval = 250 * ms
	// perBucketStarts is what the servers start in a bucket.
	perBucketStarts = slots * int(promise.BucketWidth/ms) / int(serviceTime/ms)
)

// caller is a caller of the played load.
type caller struct {
	key     promise.Key
	account string
	// impatient callers repeat at once.
	impatient bool
	priority  int
	// promised is when it is to return, by the VM with that index.
	promised time.Duration
	by       int
	returned bool
	served   bool
}

// playedVM is what a VM decides with.
type playedVM struct {
	queue    *queue.Queue
	meter    promise.Meter
	calendar *promise.Calendar
	waiting  map[uint64]*caller
	lost     bool
}

// arrival is a caller that comes or returns.
type arrival struct {
	at     time.Duration
	caller *caller
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// playing is an overload that is played.
type playing struct {
	vms     []*playedVM
	random  *rand.Rand
	hub     *tally.Hub
	now     time.Duration
	next    arrivals
	ends    []time.Duration
	callers []*caller
	// impatient is the fraction of callers that repeat at once.
	impatient float64
	// lessUrgent is the fraction with a priority of 1; the others have 0.
	lessUrgent float64
	// returns are the callers that return at their time, by bucket.
	returns map[int64]int
	ids     uint64
	owed    float64
}

func newPlaying(seed uint64) *playing {
	p := &playing{random: rand.New(rand.NewPCG(seed, 1)), now: t0, returns: make(map[int64]int)}
	p.hub = tally.NewHub("a", 1, func(string) bool { return true })
	for range playedVMs {
		p.vms = append(p.vms, &playedVM{queue: queue.New(), calendar: promise.New(), waiting: make(map[uint64]*caller)})
	}
	return p
}

// play plays until the end of the overload and until all callers have returned. disturb is called
// before each step.
func (p *playing) play(disturb func(p *playing)) {
	for p.now < t0+overloadFor || len(p.next) > 0 {
		disturb(p)
		if p.now < t0+overloadFor {
			p.arrive()
		}
		for len(p.next) > 0 && p.next[0].at <= p.now {
			back, _ := heap.Pop(&p.next).(arrival)
			p.enter(back.caller, true)
		}
		p.start()
		p.now += step
	}
}

func (p *playing) arrive() {
	for p.owed += overload * startsPerStep; p.owed >= 1; p.owed-- {
		c := &caller{key: promise.Key(len(p.callers) + 1), account: fmt.Sprint(p.random.IntN(8)), impatient: p.random.Float64() < p.impatient}
		if p.random.Float64() < p.lessUrgent {
			c.priority = 1
		}
		p.callers = append(p.callers, c)
		p.enter(c, false)
	}
}

// vm returns a VM that is live.
func (p *playing) vm() (*playedVM, int) {
	for {
		if i := p.random.IntN(len(p.vms)); !p.vms[i].lost {
			return p.vms[i], i
		}
	}
}

// enter plays the decisions of a VM on a request that arrives.
func (p *playing) enter(c *caller, returns bool) {
	vm, index := p.vm()
	result, _ := vm.calendar.Claim(p.now, llm, c.key)
	p.ids++
	item := queue.Item{ID: p.ids, Account: c.account, Priority: c.priority, Work: 1, Due: p.now + timelyFor, Expiry: p.now + queueFor, Claimed: result == promise.Claimed}
	if item.Claimed {
		item.Due = 0 // as in internal/relay
	}
	if returns && !c.impatient {
		c.returned = true
		p.returns[int64(p.now/promise.BucketWidth)]++
	}
	ahead := vm.queue.Ahead(p.now, item)
	rate := vm.meter.Rate(p.now, item.Priority)
	if !item.Claimed && rate.Certain && vm.calendar.Forecast(p.now, llm, ahead, rate.Upper) > item.Expiry {
		p.refuse(vm, index, c, item, returns)
		return
	}
	vm.queue.Push(p.now, item)
	vm.waiting[item.ID] = c
	vm.meter.SetWaiting(p.now, true)
}

func (p *playing) refuse(vm *playedVM, index int, c *caller, item queue.Item, returned bool) {
	r := promise.Request{Key: c.key, Ahead: vm.queue.Ahead(p.now, item), Timely: item.Due, Limit: callerTime / 3, Priority: item.Priority}
	in, ok := vm.calendar.Promise(p.now, llm, r, vm.meter.Rate(p.now, item.Priority).PerSecond, p.random.Float64())
	if returned || c.promised > 0 {
		return // callers retry once
	}
	switch {
	case c.impatient:
		c.promised = p.now
		heap.Push(&p.next, arrival{p.now + 5*ms, c})
	case ok:
		c.promised, c.by = p.now+in, index
		heap.Push(&p.next, arrival{p.now + in + time.Duration(p.random.IntN(20))*ms, c})
	}
}

// start starts the requests for which slots are free, and ends the waits that are over.
func (p *playing) start() {
	for len(p.ends) > 0 && p.ends[0] <= p.now {
		p.ends = p.ends[1:]
	}
	for _, index := range p.random.Perm(len(p.vms)) {
		vm := p.vms[index]
		if vm.lost {
			continue
		}
		for _, item := range vm.queue.Expired(p.now) {
			p.refuse(vm, index, vm.waiting[item.ID], item, false)
		}
	}
	for started := true; started && len(p.ends) < slots; {
		started = p.startOne()
	}
	for _, vm := range p.vms {
		vm.meter.SetWaiting(p.now, vm.queue.Len() > 0)
	}
}

func (p *playing) startOne() bool {
	for _, index := range p.random.Perm(len(p.vms)) {
		vm := p.vms[index]
		if vm.lost || vm.queue.Len() == 0 {
			continue
		}
		item := vm.queue.Next(p.now, 1)[0]
		vm.meter.Started(p.now, item.Priority)
		vm.queue.Started(item)
		vm.queue.Remove(item.ID)
		vm.waiting[item.ID].served = true
		p.ends = append(p.ends, p.now+serviceTime)
		return true
	}
	return false
}

// exchange plays the tallies that are due at a VM in this step.
func (p *playing) exchange() {
	for i, vm := range p.vms {
		if vm.lost || (p.now+time.Duration(i)*step)%tallyInterval != 0 {
			continue
		}
		own := tally.Tally{VMs: 1, Promises: make(map[string]promise.Report)}
		if rate := vm.meter.Rate(p.now, 0); rate.Certain {
			own.Promises[llm] = vm.calendar.Local(p.now, llm, rate.PerSecond)
		}
		name := fmt.Sprint("vm-", i)
		p.hub.Report(p.now, name, own)
		vm.calendar.SetRemotes(p.now, p.hub.SumExcept(p.now, name).Promises)
	}
}

// served returns how many of the callers for which count is true there are, and how many were served.
func (p *playing) served(count func(*caller) bool) (served, all float64) {
	for _, c := range p.callers {
		if count(c) {
			all++
			if c.served {
				served++
			}
		}
	}
	return served, all
}

// busiest returns the largest number of callers that returned in a bucket.
func (p *playing) busiest() (most int) {
	for _, count := range p.returns {
		most = max(most, count)
	}
	return most
}

// Guards against callers that return in vain under a long overload, which then repeat without end,
// and against returns that arrive all at once.
func TestNineInTenOfThoseThatReturnAreServed(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		p := newPlaying(seed)
		p.play((*playing).exchange)
		served, all := p.served(func(c *caller) bool { return c.returned })
		t.Logf("seed %d: %v of %v callers that returned were served, at most %d in 100 ms", seed, served, all, p.busiest())
		g.Expect(all).To(BeNumerically(">", 100))
		g.Expect(served).To(BeNumerically(">=", 0.9*all))
		g.Expect(p.busiest()).To(BeNumerically("<=", perBucketStarts))
	}
}

// Guards against callers that repeat at once and are served more often than those that wait.
func TestCallersThatRepeatAtOnceGainNothing(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		p := newPlaying(seed)
		p.impatient = 0.3
		p.play((*playing).exchange)
		newcomers, _ := p.served(func(c *caller) bool { return c.promised == 0 })
		allNewcomers := float64(len(p.callers))
		impatient, allImpatient := p.served(func(c *caller) bool { return c.impatient && c.promised > 0 })
		patient, allPatient := p.served(func(c *caller) bool { return !c.impatient && c.promised > 0 })
		t.Logf("seed %d: served %.3f of those that repeat at once, %.3f of those that come first, %.3f of those that return at their time",
			seed, impatient/allImpatient, newcomers/allNewcomers, patient/allPatient)
		g.Expect(impatient/allImpatient).To(BeNumerically("<=", 1.15*newcomers/allNewcomers), "as new callers")
		g.Expect(impatient / allImpatient).To(BeNumerically("<", 0.5*patient/allPatient))
		served, all := p.served(func(c *caller) bool { return c.returned })
		g.Expect(served).To(BeNumerically(">=", 0.9*all), "the others are served as promised")
	}
}

// Guards against the loss of half of the VMs leaving the others' promises unkept, or their starts
// unpromised: the promises of the lost ones end with their reports.
func TestPromisesAreKeptWhenHalfOfTheVMsAreLost(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		p := newPlaying(seed)
		const lostAt = t0 + 4*time.Second
		p.play(func(p *playing) {
			if p.now == lostAt {
				for _, vm := range p.vms[:playedVMs/2] {
					vm.lost = true
				}
			}
			p.exchange()
		})
		live := func(c *caller) bool { return c.returned && c.by >= playedVMs/2 }
		served, all := p.served(live)
		later, allLater := p.served(func(c *caller) bool { return live(c) && c.promised > lostAt+2*time.Second })
		t.Logf("seed %d: %v of %v promised by the VMs that stayed were served, %v of %v later", seed, served, all, later, allLater)
		g.Expect(served).To(BeNumerically(">=", 0.9*all))
		g.Expect(allLater).To(BeNumerically(">", 20))
		g.Expect(p.busiest()).To(BeNumerically("<=", perBucketStarts))
	}
}

// Guards against VMs that promise more than the servers start when they hear nothing of each other.
// Callers that return to another VM are new there then.
func TestReturnsFitTheStartsWithoutTallies(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		p := newPlaying(seed)
		p.play(func(p *playing) {
			if p.now < t0+3*time.Second {
				p.exchange()
			}
		})
		_, all := p.served(func(c *caller) bool { return c.returned && c.promised > t0+6*time.Second })
		t.Logf("seed %d: %v callers returned later than 3 s after the loss, at most %d in 100 ms", seed, all, p.busiest())
		g.Expect(all).To(BeNumerically(">", 20), "VMs go on with their own part")
		g.Expect(p.busiest()).To(BeNumerically("<=", perBucketStarts))
	}
}

// Guards against less urgent callers that are promised starts which more urgent ones take, and against
// more urgent ones that are served less.
func TestPromisesToLessUrgentCallersAreKept(t *testing.T) {
	for _, lessUrgent := range []float64{0.5, 0.95} {
		for seed := range uint64(3) {
			g := NewWithT(t)
			p := newPlaying(seed)
			p.lessUrgent = lessUrgent
			p.play((*playing).exchange)
			var fractions []float64
			returned, kept := 0.0, 0.0
			for priority := range 2 {
				served, all := p.served(func(c *caller) bool { return c.returned && c.priority == priority })
				t.Logf("%v less urgent, seed %d, priority %d: %v of %v callers that returned were served", lessUrgent, seed, priority, served, all)
				returned, kept = returned+all, kept+served
				// A few are promised by the starts from before the urgent ones filled the queues.
				g.Expect(served).To(BeNumerically(">=", 0.9*all-2))
				served, all = p.served(func(c *caller) bool { return c.priority == priority })
				fractions = append(fractions, served/all)
			}
			t.Logf("served %.3f", fractions)
			g.Expect(kept).To(BeNumerically(">=", 0.9*returned))
			g.Expect(fractions[0]).To(BeNumerically(">=", fractions[1]))
			g.Expect(p.busiest()).To(BeNumerically("<=", perBucketStarts))
		}
	}
}
