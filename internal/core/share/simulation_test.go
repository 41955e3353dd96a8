package share_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/queue"
	"oleandershunt.example/oleandershunt/internal/core/share"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// The simulated deployment.
const (
	simTick      = 5 * time.Millisecond
	simExchange  = 250 * time.Millisecond
	simVMs       = 35
	simAccounts  = 24
	simPriority  = 1
	simTarget    = 500 * time.Millisecond // from arrival to start
	simWait      = 1500 * time.Millisecond
	simWork      = 100.0
	usualPerSec  = 10.0 // requests of an account on average
	floodFactor  = 40
	floodAccount = "account-1"
	sumLifetime  = 1500 * time.Millisecond
)

var simKey = demand.Key{Service: "llm", Priority: simPriority}

// simVM is a VM with its queue. It learns the sums of all VMs one exchange after they were told.
type simVM struct {
	name     string
	process  uint64
	counter  *demand.Counter
	shares   *share.Shares
	queue    *queue.Queue
	arrivals map[uint64]simRequest
	pending  *demand.Overall
	sumAt    time.Duration
	// admitted are the fractions of requests that the VM admits.
	admitted demand.Admitted
}

type simRequest struct {
	account string
	at      time.Duration
	mark    share.Mark
	counted bool
}

// served counts the requests of an account since the flood began.
type served struct{ offered, inTime int }

// simulation plays VMs that start their requests on servers with a common capacity.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	vms    []*simVM
	hub    *tally.Hub
	// capacity is the work that the servers start per second, and credit what they can start now.
	capacity, credit float64
	// rates are the requests per second by account.
	rates map[string]float64
	// floodVM gets all requests of the flood; -1 if they are spread over the VMs.
	floodVM int
	// atRandom gives free capacity to VMs whatever waits there.
	atRandom bool
	hubDown  func(now time.Duration) bool
	nextID   uint64
	// counting is set while arriving requests are counted.
	counting bool
	accounts map[string]*served
	// started is the work started by second.
	started map[int]float64
	marked  map[string]int
	// rateOf, if set, replaces the rates.
	rateOf func(now time.Duration, account string) float64
}

func newShareSimulation(seed uint64, capacityFactor float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), capacity: capacityFactor * simAccounts * usualPerSec * simWork,
		rates: make(map[string]float64), floodVM: -1, hubDown: func(time.Duration) bool { return false },
		accounts: make(map[string]*served), started: make(map[int]float64), marked: make(map[string]int),
	}
	s.startHub(1)
	for i := range simVMs {
		s.vms = append(s.vms, newSimVM(fmt.Sprint("vm-", i), 1))
	}
	for i := range simAccounts {
		s.rates[fmt.Sprint("account-", i)] = usualPerSec * (0.5 + float64(i%3)*0.5) // 0.5, 1 and 1.5 of the average
	}
	return s
}

func newSimVM(name string, process uint64) *simVM {
	return &simVM{name: name, process: process, counter: demand.NewCounter(), shares: share.New(), queue: queue.New(), arrivals: make(map[uint64]simRequest)}
}

func (s *simulation) startHub(process uint64) { s.hub = tally.NewHub("a", process, anyServer) }

func anyServer(string) bool { return true }

// floods makes the flooding account send 40 times its usual load from a time on.
func (s *simulation) floods(from time.Duration) {
	s.rateOf = func(now time.Duration, account string) float64 {
		if account == floodAccount && now >= from {
			return floodFactor * s.rates[account]
		}
		return s.rates[account]
	}
}

func (s *simulation) rate(account string) float64 {
	if s.rateOf != nil {
		return s.rateOf(s.now, account)
	}
	return s.rates[account]
}

func (s *simulation) run(until time.Duration) {
	names := make([]string, 0, len(s.rates))
	for i := range len(s.rates) {
		names = append(names, fmt.Sprint("account-", i))
	}
	for ; s.now < until; s.now += simTick {
		for _, account := range names {
			for range s.poisson(s.rate(account) * simTick.Seconds()) {
				s.arrive(account)
			}
		}
		s.serve()
		for i, vm := range s.vms {
			if (s.now+time.Duration(i)*simTick)%simExchange == 0 {
				s.exchange(vm)
			}
		}
	}
}

// poisson returns a random number with a small mean.
func (s *simulation) poisson(mean float64) (n int) {
	for left := mean - s.random.ExpFloat64(); left > 0; left -= s.random.ExpFloat64() {
		n++
	}
	return n
}

func (s *simulation) arrive(account string) {
	vm := s.vms[s.random.IntN(len(s.vms))]
	if account == floodAccount && s.floodVM >= 0 {
		vm = s.vms[s.floodVM]
	}
	vm.counter.Offered(s.now, simKey, account, simWork)
	mark := vm.shares.Mark(s.now, simKey.Service, account, simWork)
	if mark == share.Over {
		s.marked[account]++
		vm.counter.OverShare(s.now, simKey, simWork)
	}
	if s.counting {
		s.account(account).offered++
	}
	if fraction := vm.admitted.Fraction(demand.Class{Key: simKey, OverShare: mark == share.Over}); fraction < 1 && s.random.Float64() >= fraction {
		vm.counter.Refused(s.now, simKey, simWork)
		return
	}
	s.nextID++
	vm.queue.Push(s.now, queue.Item{
		ID: s.nextID, Priority: simPriority, Account: account, Work: simWork, OverShare: mark == share.Over,
		Due: s.now + simTarget, Expiry: s.now + simWait,
	})
	vm.counter.Queued(simKey, simWork)
	vm.arrivals[s.nextID] = simRequest{account, s.now, mark, s.counting}
}

func (s *simulation) account(name string) *served {
	if s.accounts[name] == nil {
		s.accounts[name] = &served{}
	}
	return s.accounts[name]
}

// serve starts what the servers have room for, at VMs in random order. Unless atRandom is set, VMs at
// which requests within their share wait go first, as limits of the VMs by such requests achieve.
func (s *simulation) serve() {
	for _, vm := range s.vms {
		for _, item := range vm.queue.Expired(s.now) {
			vm.counter.Dequeued(simKey, simWork)
			vm.counter.Refused(s.now, simKey, simWork)
			if vm.arrivals[item.ID].mark == share.Within {
				vm.shares.Returned(s.now, simKey.Service, item.Account, simWork)
			}
			delete(vm.arrivals, item.ID)
		}
	}
	s.credit = min(s.credit+s.capacity*simTick.Seconds(), s.capacity*0.05)
	if !s.atRandom {
		s.startAt(func(vm *simVM) bool { return vm.queue.Len() > 0 && !vm.queue.Next(s.now, 1)[0].OverShare })
	}
	s.startAt(func(vm *simVM) bool { return vm.queue.Len() > 0 })
}

// startAt starts requests at VMs that may, in random order.
func (s *simulation) startAt(may func(vm *simVM) bool) {
	waiting := slices.DeleteFunc(slices.Clone(s.vms), func(vm *simVM) bool { return !may(vm) })
	for s.credit > 0 && len(waiting) > 0 {
		i := s.random.IntN(len(waiting))
		s.start(waiting[i])
		if !may(waiting[i]) {
			waiting = slices.Delete(waiting, i, i+1)
		}
	}
}

func (s *simulation) start(vm *simVM) {
	item := vm.queue.Next(s.now, 1)[0]
	vm.queue.Started(item)
	vm.queue.Remove(item.ID)
	vm.counter.Dequeued(simKey, simWork)
	vm.counter.Started(s.now, simKey, simWork)
	s.credit -= item.Work
	s.started[int(s.now/time.Second)] += item.Work
	if request := vm.arrivals[item.ID]; request.counted && s.now-request.at <= simTarget {
		s.account(request.account).inTime++
	}
	delete(vm.arrivals, item.ID)
}

// exchange tells the hub of a VM's demand. The VM applies the answer at its next exchange.
func (s *simulation) exchange(vm *simVM) {
	local := vm.counter.Report(s.now)
	if !s.hubDown(s.now) {
		s.hub.Report(s.now, vm.name, tally.Tally{VMs: 1, Process: vm.process, Demand: local})
		overall := s.hub.SumExcept(s.now, vm.name).Overall
		vm.pending, overall = overall, vm.pending
		if overall != nil {
			vm.sumAt = s.now
			s.update(vm, local, overall)
			return
		}
	}
	if s.now-vm.sumAt > sumLifetime {
		s.update(vm, local, nil)
	}
}

func (s *simulation) update(vm *simVM, local demand.Report, overall *demand.Overall) {
	in := share.Input{Local: local.Accounts[simKey.Service], All: local.Accounts[simKey.Service], Counts: demand.Total(local.Counts, simKey.Service)}
	if overall != nil {
		in.All, in.Counts = overall.Accounts[simKey.Service], overall.Service(simKey.Service)
	}
	vm.shares.Update(s.now, simKey.Service, in)
	vm.admitted = overall.Admitted(nil)
	for _, id := range slices.Sorted(maps.Keys(vm.arrivals)) {
		request := vm.arrivals[id]
		request.mark = vm.shares.Remark(s.now, simKey.Service, request.account, simWork, request.mark)
		vm.arrivals[id] = request
		vm.queue.SetOverShare(id, request.mark == share.Over)
	}
}

// measure plays the requests that arrive until a time, and checks the targets for them: usual accounts
// are served, and the flood gets what they leave at once.
func (s *simulation) measure(g *WithT, t *testing.T, until time.Duration) {
	t.Helper()
	from := int(s.now / time.Second)
	s.accounts, s.started, s.marked = make(map[string]*served), make(map[int]float64), make(map[string]int)
	s.counting = true
	s.run(until)
	s.counting = false
	s.run(until + simTarget)
	offered, inTime, work := 0, 0, 0.0
	for name, account := range s.accounts {
		if name != floodAccount {
			offered, inTime = offered+account.offered, inTime+account.inTime
		}
	}
	for second := from; second < int(until/time.Second); second++ {
		work += s.started[second]
	}
	served := float64(inTime) / float64(offered)
	used := work / (s.capacity * float64(int(until/time.Second)-from))
	flood := s.account(floodAccount)
	t.Logf("usual accounts in time %.3f, capacity used %.3f, flood %d of %d in time, marked %v", served, used, flood.inTime, flood.offered, s.marked)
	g.Expect(served).To(BeNumerically(">=", 0.97))
	g.Expect(used).To(BeNumerically(">=", 0.97), "what the usual accounts leave is used")
}

// simSeeds is the number of seeds of each case. Floods begin after 5 s, and are known everywhere at
// floodKnown: the demand is that of the last second, and sums are up to half a second old.
const (
	simSeeds   = 3
	floodKnown = 6 * time.Second
)

// Guards against one account that takes the service from all others: it sends 40 times its usual load,
// through one VM or through all of them.
func TestFloodOfOneAccountLeavesTheOthersServed(t *testing.T) {
	for name, floodVM := range map[string]int{"through one VM": 7, "through all VMs": -1} {
		for _, capacity := range []float64{1.2, 1.5} {
			t.Run(fmt.Sprintf("%s at %.1f", name, capacity), func(t *testing.T) {
				for seed := range uint64(simSeeds) {
					g := NewWithT(t)
					s := newShareSimulation(seed, capacity)
					s.floodVM = floodVM
					s.floods(5 * time.Second)
					s.run(5 * time.Second)
					g.Expect(s.marked).To(BeEmpty(), "nothing is marked at the usual load")
					s.run(floodKnown)
					s.measure(g, t, 16*time.Second)
				}
			})
		}
	}
}

// Guards against VMs that let a flood through, or mark the usual accounts, while sums are lost: the hub
// is down for 5 s, and begins with empty demand.
func TestFloodWhileSumsAreLost(t *testing.T) {
	for name, floodVM := range map[string]int{"through one VM": 7, "through all VMs": -1} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(simSeeds) {
				g := NewWithT(t)
				s := newShareSimulation(seed, 1.5)
				s.floodVM = floodVM
				s.floods(5 * time.Second)
				s.hubDown = func(now time.Duration) bool { return now >= 8*time.Second && now < 13*time.Second }
				s.run(8 * time.Second)
				s.startHub(2)
				s.measure(g, t, 18*time.Second)
			}
		})
	}
}

// Guards against a VM that starts under overload and takes the flood's requests for usual ones, and
// against its earlier demand that counts twice.
func TestFloodWhileAVMRestarts(t *testing.T) {
	for seed := range uint64(simSeeds) {
		g := NewWithT(t)
		s := newShareSimulation(seed, 1.5)
		s.floodVM = 7
		s.floods(5 * time.Second)
		s.run(8 * time.Second)
		s.vms[7] = newSimVM("vm-7", 2) // what waited there is gone
		s.vms[8] = newSimVM("vm-8", 2)
		s.measure(g, t, 16*time.Second)
	}
}

// Guards against shares of accounts that ask for nothing any more, and against new accounts that are
// marked because they weren't there before.
func TestFloodWhileAccountsAppearAndDisappear(t *testing.T) {
	for seed := range uint64(simSeeds) {
		g := NewWithT(t)
		s := newShareSimulation(seed, 1.5)
		s.floods(5 * time.Second)
		flood := s.rateOf
		for i := simAccounts; i < 2*simAccounts; i++ {
			s.rates[fmt.Sprint("account-", i)] = usualPerSec
		}
		s.rateOf = func(now time.Duration, account string) float64 {
			var index int
			_, _ = fmt.Sscanf(account, "account-%d", &index)
			// Each second another half of the accounts is there.
			if account != floodAccount && (index+int(now/time.Second))%2 == 0 {
				return 0
			}
			return flood(now, account)
		}
		s.run(floodKnown)
		s.measure(g, t, 16*time.Second)
	}
}

// Guards against a flood that takes the service from the others until the VMs know of it.
func TestFloodLeavesTheOthersServedFromItsBeginning(t *testing.T) {
	for seed := range uint64(simSeeds) {
		g := NewWithT(t)
		s := newShareSimulation(seed, 1.5)
		s.floods(5 * time.Second)
		s.run(5 * time.Second)
		s.measure(g, t, 10*time.Second)
	}
}

// Guards against a flood at all VMs that takes free capacity before the others' requests at other VMs:
// a VM doesn't know what waits elsewhere.
func TestFloodLeavesTheOthersServedWithCapacityAtRandom(t *testing.T) {
	for seed := range uint64(simSeeds) {
		g := NewWithT(t)
		s := newShareSimulation(seed, 1.5)
		s.atRandom = true
		s.floods(5 * time.Second)
		s.run(floodKnown)
		s.measure(g, t, 16*time.Second)
	}
}
