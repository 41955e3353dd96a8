package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/pace"
)

const (
	ms         = time.Millisecond
	step       = 2 * ms
	target     = 500 * ms
	patience   = 2 * time.Second // callers disconnect after it without a first event
	answer     = time.Second     // from the first event to the end
	published  = 250 * ms        // interval at which VMs learn the loads of the others
	unloaded   = 40 * ms         // time to the first event beside the wait and the reading
	serverRate = 20.0            // prompts per second of an average server
)

// job is a request from its arrival at a VM to its end.
type job struct {
	vm      *vm
	server  *server
	arrived time.Duration
	sent    time.Duration
	work    float64 // seconds of an average server
	stream  *pace.Stream
}

// server reads prompts one after the other.
type server struct {
	// speed is relative to an average server, and known what the VMs take it for.
	speed, known float64
	stalledUntil time.Duration
	queue        []*job
	spare        float64
}

type vm struct {
	limiter *pace.Limiter
	queue   []*job
	// sent are the VM's jobs without first event by server, and known those of all VMs when the loads
	// were last published.
	sent, known []int
}

// simulation is a closed loop of VMs with a limiter each and servers that read prompts at a limited
// rate. VMs choose the better of two random servers by their own jobs and the published ones of others.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	servers []*server
	vms     []*vm
	events  map[time.Duration][]func()
	// load returns the requests per second that reach a VM.
	load func(now time.Duration, vm int) float64
	// inTime, begun and arrived count requests by the 250 ms in which they got their first event or
	// arrived.
	inTime, begun, arrived []int
	// fixed is a fixed starting limit for each VM instead of its limiter's; 0 for none.
	fixed int
}

// newSimulation returns VMs and servers whose speeds differ by a factor of four. The limiters are
// given the servers' rate times wrong.
func newSimulation(seed uint64, vms, servers int, wrong float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, uint64(vms))), events: make(map[time.Duration][]func())}
	for i := range servers {
		speed := 0.4 + 1.2*float64(i)/float64(max(servers-1, 1))
		s.servers = append(s.servers, &server{speed: speed, known: speed})
	}
	for range vms {
		v := &vm{limiter: &pace.Limiter{}, sent: make([]int, servers), known: make([]int, servers)}
		v.limiter.SetModel(pace.Capacity{PromptsPerSecond: wrong * s.capacity() / 2, Part: 1 / float64(vms)})
		s.vms = append(s.vms, v)
	}
	return s
}

// capacity is the prompts per second that the servers can read.
func (s *simulation) capacity() float64 {
	sum := 0.0
	for _, server := range s.servers {
		sum += serverRate * server.speed
	}
	return sum
}

func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += step {
		for _, event := range s.events[s.now] {
			event()
		}
		delete(s.events, s.now)
		if s.now%published == 0 {
			s.publish()
		}
		for i, v := range s.vms {
			for range s.poisson(s.load(s.now, i) * step.Seconds()) {
				count(&s.arrived, s.now)
				v.queue = append(v.queue, &job{vm: v, arrived: s.now, work: s.work()})
			}
			s.start(v)
		}
		for _, server := range s.servers {
			s.read(server)
		}
	}
}

// work returns the time of a prompt on an average server: log-normal with a mean of 1/serverRate.
func (s *simulation) work() float64 {
	const sigma = 0.6
	return math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2) / serverRate
}

func (s *simulation) poisson(mean float64) int {
	n := 0
	for p := s.random.Float64(); p > math.Exp(-mean); p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *simulation) at(when time.Duration, event func()) {
	when = max(when.Round(step), s.now+step)
	s.events[when] = append(s.events[when], event)
}

// publish lets each VM learn the jobs of all VMs at the servers.
func (s *simulation) publish() {
	sums := make([]int, len(s.servers))
	for _, v := range s.vms {
		for i, n := range v.sent {
			sums[i] += n
		}
	}
	for _, v := range s.vms {
		for i, n := range sums {
			v.known[i] = n - v.sent[i]
		}
	}
}

// start sends the waiting requests that the limits admit, the oldest first. Those that can't be in time
// any more are refused.
func (s *simulation) start(v *vm) {
	for len(v.queue) > 0 {
		j := v.queue[0]
		if s.now == j.arrived || s.now <= j.arrived+v.limiter.LatestStart(target) {
			if !s.admits(v) {
				return
			}
			s.send(v, j)
		}
		v.queue = v.queue[1:]
	}
}

func (s *simulation) admits(v *vm) bool {
	if s.fixed > 0 {
		return v.limiter.State().Starting < s.fixed
	}
	return v.limiter.Admits(s.now, target)
}

func (s *simulation) send(v *vm, j *job) {
	best, other := s.draw(), s.draw()
	if v.expectedWait(s, other) < v.expectedWait(s, best) {
		best = other
	}
	j.server, j.sent = s.servers[best], s.now
	j.stream = v.limiter.Sent(s.now, target)
	v.sent[best]++
	j.server.queue = append(j.server.queue, j)
	s.at(s.now+patience, func() {
		if i := slices.Index(j.server.queue, j); i >= 0 {
			j.server.queue = slices.Delete(j.server.queue, i, i+1)
			v.sent[best]--
			v.limiter.Ended(s.now, j.stream)
		}
	})
}

// expectedWait is the wait at a server as far as the VM knows.
func (v *vm) expectedWait(s *simulation, server int) float64 {
	return float64(v.sent[server]+v.known[server]+1) / s.servers[server].known
}

// draw returns a server with a probability that is proportional to its speed.
func (s *simulation) draw() int {
	rest := s.random.Float64() * float64(len(s.servers))
	for i, server := range s.servers {
		if rest -= server.known; rest < 0 {
			return i
		}
	}
	return len(s.servers) - 1
}

// read lets a server read prompts for one step.
func (s *simulation) read(server *server) {
	if s.now < server.stalledUntil {
		return
	}
	server.spare += server.speed * step.Seconds()
	for len(server.queue) > 0 && server.spare >= server.queue[0].work {
		j := server.queue[0]
		server.queue = server.queue[1:]
		server.spare -= j.work
		s.at(s.now+unloaded, func() { s.begin(j) })
	}
	if len(server.queue) == 0 {
		server.spare = 0
	}
}

func (s *simulation) begin(j *job) {
	j.vm.sent[slices.Index(s.servers, j.server)]--
	j.vm.limiter.Begun(s.now, j.stream)
	count(&s.begun, s.now)
	if s.now <= j.arrived+target {
		count(&s.inTime, s.now)
	}
	s.at(s.now+answer, func() { j.vm.limiter.Ended(s.now, j.stream) })
}

func count(counts *[]int, now time.Duration) {
	for i := int(now / published); len(*counts) <= i; {
		*counts = append(*counts, 0)
	}
	(*counts)[now/published]++
}

// perSecond returns the mean of counts between two times.
func perSecond(counts []int, from, to time.Duration) float64 {
	sum := 0
	for i := int(from / published); i < int(to/published) && i < len(counts); i++ {
		sum += counts[i]
	}
	return float64(sum) / (to - from).Seconds()
}

// overload returns a load of usual times the servers' capacity and, between two times, of factor times it.
func (s *simulation) overload(usual, factor float64, from, to time.Duration) func(time.Duration, int) float64 {
	return func(now time.Duration, _ int) float64 {
		if now >= from && now < to {
			return factor * s.capacity() / float64(len(s.vms))
		}
		return usual * s.capacity() / float64(len(s.vms))
	}
}

// one returns a load of usual times the servers' capacity, and lets the first VM get factor
// times the capacity more between two times.
func (s *simulation) one(usual, factor float64, from, to time.Duration) func(time.Duration, int) float64 {
	return func(now time.Duration, vm int) float64 {
		perSecond := usual * s.capacity() / float64(len(s.vms))
		if vm == 0 && now >= from && now < to {
			perSecond += factor * s.capacity()
		}
		return perSecond
	}
}

const (
	usualLoad = 0.5
	bestShare = 0.9
	usualPart = 0.97
	unlimited = 1 << 30
	from      = 2 * time.Second
	to        = 7 * time.Second
	recovery  = 2 * time.Second
	end       = to + recovery + 2*time.Second
)

// seeds are the seeds over which the simulations' results are averaged: a single one varies by several
// percent.
var seeds = []uint64{1, 2, 3, 4}

// average returns the mean of the results of simulations by seed.
func average(measure func(seed uint64) []float64) []float64 {
	var mean []float64
	for _, seed := range seeds {
		results := measure(seed)
		if mean == nil {
			mean = make([]float64, len(results))
		}
		for i, result := range results {
			mean[i] += result / float64(len(seeds))
		}
	}
	return mean
}

// bestRate returns the best in-time rate of a deployment under a load above its servers' rate, over all
// fixed limits. change is applied to the servers.
func bestRate(vms, servers int, change func(*simulation)) float64 {
	best := 0.0
	for fixed := 3; fixed <= 6; fixed++ {
		rate := average(func(seed uint64) []float64 {
			s := newSimulation(seed, vms, servers, 1)
			s.fixed, s.load = fixed, s.overload(3, 3, 0, 0)
			change(s)
			s.run(to)
			return []float64{perSecond(s.inTime, from, to)}
		})
		best = max(best, rate[0])
	}
	return best
}

// usualBest is the best in-time rate of 35 VMs and 30 servers.
var usualBest = sync.OnceValue(func() float64 { return bestRate(35, 30, func(*simulation) {}) })

// inTimePart returns the part of the arrived requests that were in time between two times.
func (s *simulation) inTimePart(from, to time.Duration) float64 {
	return perSecond(s.inTime, from, to) / perSecond(s.arrived, from, to)
}

// Guards against prompts that wait at the servers under overload until their callers give up, so that
// nearly no response is in time, and against limits that stay low afterwards.
func TestOverloadKeepsThroughput(t *testing.T) {
	best := usualBest()
	for _, factor := range []float64{1.2, 3, 10} {
		for _, wrong := range []float64{0.2, 1, 5} {
			t.Run(fmt.Sprintf("%gx, figures wrong by %g", factor, wrong), func(t *testing.T) {
				g := NewWithT(t)
				// Figures that are too high let the first requests of an overload wait.
				settled := from + max(1, time.Duration(wrong)/2)*time.Second
				mean := average(func(seed uint64) []float64 {
					s := newSimulation(seed, 35, 30, wrong)
					s.load = s.overload(usualLoad, factor, from, to)
					s.run(end)
					return []float64{
						perSecond(s.inTime, from, from+time.Second) / best, perSecond(s.inTime, settled, to) / best,
						s.inTimePart(from-time.Second, from), s.inTimePart(to+recovery, end),
					}
				})
				t.Logf("in time of the best rate: %.2f in the first second, %.2f after %v; of usual load before %.2f, afterwards %.2f",
					mean[0], mean[1], settled-from, mean[2], mean[3])
				g.Expect(mean[1]).To(BeNumerically(">=", bestShare))
				g.Expect(mean[2]).To(BeNumerically(">=", usualPart), "before")
				g.Expect(mean[3]).To(BeNumerically(">=", usualPart), "afterwards")
			})
		}
	}
}

// Guards against a VM that suddenly gets most of the load staying at the limit of its former part.
func TestOverloadOfOneVM(t *testing.T) {
	best := usualBest()
	for _, factor := range []float64{1.2, 3, 10} {
		t.Run(fmt.Sprintf("%gx", factor), func(t *testing.T) {
			g := NewWithT(t)
			mean := average(func(seed uint64) []float64 {
				s := newSimulation(seed, 35, 30, 1)
				s.load = s.one(usualLoad, factor, from, to)
				s.run(end)
				return []float64{
					perSecond(s.inTime, from, from+time.Second) / best, perSecond(s.inTime, from+time.Second, to) / best,
					s.inTimePart(to+recovery, end), s.vms[0].limiter.State().StartingLimit, s.vms[1].limiter.State().StartingLimit,
				}
			})
			t.Logf("in time of the best rate: %.2f in the first second, %.2f afterwards; of usual load afterwards %.2f; limits %.1f and %.1f",
				mean[0], mean[1], mean[2], mean[3], mean[4])
			g.Expect(mean[1]).To(BeNumerically(">=", bestShare))
			g.Expect(mean[2]).To(BeNumerically(">=", usualPart))
		})
	}
}

// Guards against an overload that goes on by itself after its cause, since each of many VMs has too few
// streams to see that first events are late.
func TestManyVMsRecover(t *testing.T) {
	g := NewWithT(t)
	mean := average(func(seed uint64) []float64 {
		s := newSimulation(seed, 984, 30, 1)
		s.load = s.overload(usualLoad, 3, from, to)
		s.run(end)
		return []float64{s.inTimePart(to+recovery, end)}
	})
	t.Logf("in time of usual load afterwards: %.2f", mean[0])
	g.Expect(mean[0]).To(BeNumerically(">=", usualPart))
}

// Guards against limits that hold back the few requests of each of many VMs, although the servers could
// take them.
func TestUsualLoadIsNotLimited(t *testing.T) {
	for _, vms := range []int{1, 9, 35, 200} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			g := NewWithT(t)
			mean := average(func(seed uint64) []float64 {
				inTime := func(wrong float64, fixed int) float64 {
					s := newSimulation(seed, vms, 30, wrong)
					s.fixed, s.load = fixed, s.overload(0.7, 0.7, 0, 0)
					s.run(to)
					return s.inTimePart(published, to)
				}
				return []float64{inTime(1, 0), inTime(0.2, 0), inTime(1, unlimited)}
			})
			t.Logf("in time: %.3f, with figures five times too low %.3f, without limits %.3f", mean[0], mean[1], mean[2])
			g.Expect(min(mean[0], mean[1])).To(BeNumerically(">=", usualPart))
			g.Expect(min(mean[0], mean[1])).To(BeNumerically(">=", mean[2]-0.02))
		})
	}
}

// Guards against simulations that prove nothing, because their servers also do without limits: half of
// the responses or more are late then.
func TestOverloadWithoutLimits(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(1, 35, 30, 1)
	s.fixed, s.load = unlimited, s.overload(usualLoad, 3, from, to)
	s.run(end)
	rest := perSecond(s.inTime, from+time.Second, to) / s.capacity()
	t.Logf("in time of the servers' rate: %.2f", rest)
	g.Expect(rest).To(BeNumerically("<", 0.5))
}

// Guards against limits that stay low after a quarter of the servers stalled for two seconds, and
// against stalled streams that use up all of a limit.
func TestStalledServers(t *testing.T) {
	g := NewWithT(t)
	mean := average(func(seed uint64) []float64 {
		s := newSimulation(seed, 35, 30, 1)
		s.load = s.overload(usualLoad, usualLoad, 0, 0)
		s.run(from)
		for i := 0; i < len(s.servers); i += 4 {
			s.servers[i].stalledUntil = from + 2*time.Second
		}
		s.run(end)
		return []float64{s.inTimePart(from, from+2*time.Second), s.inTimePart(from+3*time.Second, end)}
	})
	t.Logf("in time while servers stall: %.2f, from one second after it: %.2f", mean[0], mean[1])
	g.Expect(mean[0]).To(BeNumerically(">=", 0.6))
	g.Expect(mean[1]).To(BeNumerically(">=", usualPart))
}

// Guards against limits that stay at what the servers could read before some of them became five times
// slower under overload, without the VMs knowing.
func TestSlowerServers(t *testing.T) {
	for _, every := range []int{30, 4} {
		t.Run(fmt.Sprintf("one of %d", every), func(t *testing.T) {
			g := NewWithT(t)
			slow := func(s *simulation) {
				for i := 0; i < len(s.servers); i += every {
					s.servers[len(s.servers)-1-i].speed /= 5
				}
			}
			best := bestRate(35, 30, slow)
			mean := average(func(seed uint64) []float64 {
				s := newSimulation(seed, 35, 30, 1)
				s.load = s.overload(3, 3, 0, 0)
				s.run(from)
				slow(s)
				s.run(end)
				return []float64{perSecond(s.inTime, from, from+time.Second) / best, perSecond(s.inTime, from+time.Second, end) / best}
			})
			t.Logf("in time of the best rate: %.2f in the first second, %.2f afterwards", mean[0], mean[1])
			g.Expect(mean[1]).To(BeNumerically(">=", bestShare))
		})
	}
}
