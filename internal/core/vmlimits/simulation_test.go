package vmlimits_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/vmlimits"
)

// Figures of the simulated data centre. Its balancer checks a VM's health once a second, acts on two
// results, and gives all new connections to the first VM in rotation.
const (
	simulationTick = 5 * time.Millisecond
	requestCost    = 5 * time.Millisecond
	refusalCost    = 300 * time.Microsecond
	offeredPerTick = 0.5 // 100 requests/s, half a core
	lateAfter      = 300 * time.Millisecond
	healthInterval = time.Second
)

// simulatedVM is a VM that works on its requests in turn.
type simulatedVM struct {
	cores   float64
	monitor *vmlimits.Monitor
	// backlog is the work that is waiting, and used the processor time.
	backlog, used time.Duration
	// unhealthy counts the health checks in a row that failed.
	unhealthy int
	// served and late count the requests that the VM accepted, and of those the late ones.
	served, late int
}

// dataCentre are VMs, the smallest one first.
type dataCentre struct {
	vms    []*simulatedVM
	random *rand.Rand
	now    time.Duration
	// retries are the requests that come back, by time, and refused counts the refusals.
	retries map[time.Duration]int
	refused int
}

func newDataCentre(seed uint64, limited bool, cores ...float64) *dataCentre {
	d := &dataCentre{random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, retries: make(map[time.Duration]int)}
	for _, c := range cores {
		vm := &simulatedVM{cores: c, monitor: vmlimits.New(vmlimits.Limits{})}
		if limited {
			vm.monitor.SetLimits(vmlimits.Limits{Cores: c})
		}
		d.vms = append(d.vms, vm)
	}
	return d
}

// arrive gives a request to a VM. A refused caller connects again and reaches any VM.
func (d *dataCentre) arrive(vm *simulatedVM) {
	if vm.monitor.State(d.now).Saturated {
		vm.backlog += refusalCost
		d.refused++
		d.retries[(d.now+50*time.Millisecond+time.Duration(d.random.Int64N(int64(200*time.Millisecond)))).Truncate(simulationTick)]++
		return
	}
	vm.backlog += requestCost
	vm.served++
	if time.Duration(float64(vm.backlog)/vm.cores) > lateAfter {
		vm.late++
	}
}

// inRotation returns the VM that gets the new connections.
func (d *dataCentre) inRotation() *simulatedVM {
	for _, vm := range d.vms {
		if vm.unhealthy < 2 {
			return vm
		}
	}
	return d.vms[0]
}

func (d *dataCentre) run(length time.Duration) {
	for end := d.now + length; d.now < end; d.now += simulationTick {
		if d.random.Float64() < offeredPerTick {
			d.arrive(d.inRotation())
		}
		for range d.retries[d.now] {
			d.arrive(d.vms[d.random.IntN(len(d.vms))])
		}
		delete(d.retries, d.now)
		for i, vm := range d.vms {
			work := min(vm.backlog, time.Duration(vm.cores*float64(simulationTick)))
			vm.backlog, vm.used = vm.backlog-work, vm.used+work
			if d.now%vmlimits.SampleInterval == 0 {
				vm.monitor.Observe(d.now, vmlimits.Sample{ProcessorTime: vm.used})
			}
			if d.now%healthInterval == 0 {
				rank := len(d.vms) - 1 - i
				if vm.monitor.State(d.now).Leaves && vmlimits.MayLeave(rank, len(d.vms)) {
					vm.unhealthy++
				} else {
					vm.unhealthy = 0
				}
			}
		}
	}
}

// counts returns the number of requests that were served, and of those that were late.
func (d *dataCentre) counts() (served, late int) {
	for _, vm := range d.vms {
		served, late = served+vm.served, late+vm.late
	}
	return served, late
}

// Guards against late responses for as long as the load lasts, when all new connections of a data centre
// reach its smallest VM and larger ones are idle.
func TestLargeVMsTakeOverFromSmallestOne(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		d := newDataCentre(seed, true, 0.192, 0.4, 0.6, 0.8)
		d.run(20 * time.Second)
		served, late := d.counts()
		t.Logf("seed %d: %d served, %d late, %d refused", seed, served, late, d.refused)
		g.Expect(served).To(BeNumerically(">", 1800))
		g.Expect(late).To(BeNumerically("<", served/10))
		g.Expect(d.vms[0].served).To(BeNumerically("<", served/4))
		for _, large := range d.vms[2:] {
			g.Expect(large.late).To(BeZero())
		}
	}
}

// Guards against refusals by VMs without limits: they decide as before, and all requests stay at the
// smallest VM.
func TestVMsWithoutLimitsRefuseNothing(t *testing.T) {
	g := NewWithT(t)
	d := newDataCentre(0, false, 0.192, 0.4, 0.6, 0.8)
	d.run(20 * time.Second)
	served, _ := d.counts()
	g.Expect(d.refused).To(BeZero())
	g.Expect(d.vms[0].served).To(Equal(served))
}
