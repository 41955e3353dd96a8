package configuration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/standin"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// answerMillis is the platform's response delay and its watch lag.
const answerMillis = 5

// releaseTimes records when each release was in force on all VMs.
type releaseTimes struct {
	mu        sync.Mutex
	vms       int
	count     map[uint64]int
	complete  map[uint64]time.Time
	completed chan struct{}
}

func newReleaseTimes(need int) *releaseTimes {
	return &releaseTimes{vms: need, count: map[uint64]int{}, complete: map[uint64]time.Time{}, completed: make(chan struct{}, 1)}
}

func (a *releaseTimes) apply(set *config.Set) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[set.Release]++
	if a.count[set.Release] == a.vms {
		a.complete[set.Release] = time.Now()
		select {
		case a.completed <- struct{}{}:
		default:
		}
	}
}

// wait waits until a release is in force on all VMs, and returns the time of that.
func (a *releaseTimes) wait(release uint64) time.Time {
	for {
		a.mu.Lock()
		at, ok := a.complete[release]
		a.mu.Unlock()
		if ok {
			return at
		}
		<-a.completed
	}
}

// benchmarkFleet measures changes on VMs in several data centres.
func benchmarkFleet(b *testing.B, dataCentres, perDataCentre int) {
	d := newDeployment(b)
	d.platform.SetFaults("", standin.PlatformFaults{DelayMillis: answerMillis, WatchLagMillis: answerMillis})
	releases := newReleaseTimes(dataCentres * perDataCentre)
	for i := range dataCentres * perDataCentre {
		d.start(fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc-%d", i%dataCentres), func(o *Options) {
			o.Platform = platform.NewClient(d.platform.URL(), platform.WithVM(o.Self.Name))
			o.Apply = releases.apply
		})
	}
	d.model("scorer", "w0")
	releases.wait(1)
	before := calls(d)
	start := time.Now()
	var latencies []time.Duration
	for i := range b.N {
		d.model("scorer", fmt.Sprintf("w%d", i+1))
		written := time.Now()
		latencies = append(latencies, releases.wait(uint64(i+2)).Sub(written))
	}
	elapsed := time.Since(start)
	after := calls(d)
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1].Microseconds())/1000, "max-ms")
	b.ReportMetric(float64(after.writes-before.writes)/float64(b.N), "writes/change")
	b.ReportMetric(float64(after.reads-before.reads)/float64(b.N), "reads/change")
	b.ReportMetric(float64(after.watches), "watches")
	b.ReportMetric(elapsed.Seconds()/float64(b.N)*1000, "turn-ms")
}

// callCounts are the platform calls of all VMs, by the limit that applies to them.
type callCounts struct{ reads, writes, watches uint64 }

func calls(d *deployment) callCounts {
	var sum callCounts
	for _, v := range d.vms {
		c := v.Manager.platform.Calls()
		sum.reads += c.Of(platform.MethodGet, platform.MethodList, platform.MethodVMs)
		sum.writes += c.Of(platform.MethodWrite, platform.MethodDelete)
		sum.watches += c.Of(platform.MethodWatch)
	}
	return sum
}

// BenchmarkInForce measures the time from the response to an operator's write until
// the change is in force on all VMs, and the number of platform calls.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ dataCentres, vms int }{{3, 3}, {3, 10}, {1, 63}, {3, 63}} {
		b.Run(fmt.Sprintf("dcs=%d/vms=%d", size.dataCentres, size.dataCentres*size.vms), func(b *testing.B) {
			benchmarkFleet(b, size.dataCentres, size.vms)
		})
	}
}

// writeAccounts writes client accounts into an empty platform.
func writeAccounts(d *deployment, count int) {
	var group sync.WaitGroup
	const writers = 8
	for w := range writers {
		group.Go(func() {
			for i := w; i < count; i += writers {
				name := fmt.Sprintf("account-%05d", i)
				document, err := api.NewDocument(api.KindClientAccount, name, accountSpec(i, 1))
				d.Expect(err).NotTo(HaveOccurred())
				_, err = d.operator.Create(context.Background(), string(api.KindClientAccount), name, document)
				d.Expect(err).NotTo(HaveOccurred())
			}
		})
	}
	group.Wait()
}

func accountSpec(i, weight int) api.ClientAccountSpec {
	return api.ClientAccountSpec{KeySHA256: []string{fmt.Sprintf("%064x", i+1)}, Weight: float64(weight), RequestsPerSecond: 50, Burst: 10}
}

// BenchmarkChangeAmongAccounts measures the time to the first release of 31,000
// accounts, the memory that it takes on an acceptor, and one change among them.
func BenchmarkChangeAmongAccounts(b *testing.B) {
	const count = 31_000
	d := newDeployment(b)
	writeAccounts(d, count)
	releases := newReleaseTimes(1)
	base := testutil.Heap()
	started := time.Now()
	d.start("vm-1", "a", func(o *Options) {
		o.Log = logr.Discard()
		o.Apply = releases.apply
		o.Platform = platform.NewClient(d.platform.URL(), platform.WithVM("vm-1"), platform.WithBudget(1e6, 1e6))
	})
	first := releases.wait(1).Sub(started)
	held := int64(testutil.Heap()) - int64(base)
	b.ResetTimer()
	var latencies []time.Duration
	for i := range b.N {
		d.write(api.KindClientAccount, "account-00007", accountSpec(7, i+2))
		written := time.Now()
		latencies = append(latencies, releases.wait(uint64(i+2)).Sub(written))
	}
	slices.Sort(latencies)
	b.ReportMetric(first.Seconds(), "first-s")
	b.ReportMetric(float64(held)/(1<<20), "held-MB")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1].Microseconds())/1000, "max-ms")
}

// BenchmarkRanks measures the cost of looking up a VM's roles in fleets of up to the
// planned size.
func BenchmarkRanks(b *testing.B) {
	for _, count := range []int{9, 63, 820} {
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			directory := peer.NewDirectory()
			for i := range count {
				directory.Put(peer.Member{Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%13)})
			}
			m := New(Options{
				Self:      peer.Member{Name: "vm-0", DataCentre: "dc-0"},
				Platform:  platform.NewClient("http://127.0.0.1:1"),
				Directory: directory,
				Apply:     func(*config.Set) {},
			})
			for b.Loop() {
				_ = m.isAcceptor()
				_ = m.watchesRelease()
			}
		})
	}
}
