package probe_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/probe"
	"oleandershunt.example/oleandershunt/internal/schedclock"
	"oleandershunt.example/oleandershunt/internal/standin"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

func startEngine(tb testing.TB, name string, bytes *atomic.Int64) *standin.Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	e := standin.StartEngine(testutil.CountListener(listener, bytes), standin.EngineOptions{
		Server: name, Model: "scorer-70b", Version: "2026-11", Layers: api.Layers{To: 12},
	})
	tb.Cleanup(e.Kill)
	return e
}

// results collects the results that a prober reports.
type results struct {
	mu    sync.Mutex
	count map[string]int
	last  map[string]probe.Result
}

func run(tb testing.TB, options probe.Options) (*probe.Prober, *results) {
	r := &results{count: make(map[string]int), last: make(map[string]probe.Result)}
	options.Engines = engine.NewHTTPClient()
	options.Report = func(result probe.Result) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.count[result.Target.Name]++
		r.last[result.Target.Name] = result
	}
	p := probe.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Run(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-ended
	})
	return p, r
}

func (r *results) latest(name string) func() probe.Result {
	return func() probe.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.last[name]
	}
}

// Guards against reporting a server as healthy when its process has ended or its
// address is reused by another server, because any answer at the address counts.
func TestProbeDetectsRefusedConnectionAndWrongServer(t *testing.T) {
	g := NewWithT(t)
	var bytes atomic.Int64
	up, down := startEngine(t, "up", &bytes), startEngine(t, "down", &bytes)
	down.Kill()
	p, r := run(t, probe.Options{Interval: 20 * time.Millisecond, Timeout: time.Second, MaxPerSecond: 1000})
	p.SetTargets([]probe.Target{
		{Name: "up", Address: up.Address()},
		{Name: "down", Address: down.Address()},
		{Name: "elsewhere", Address: up.Address()},
		{Name: "service", Address: up.Address(), Service: true},
	})
	g.Eventually(r.latest("up")).Should(HaveField("Capabilities.Server", "up"))
	g.Eventually(r.latest("down")).Should(HaveField("Refused", true))
	g.Eventually(r.latest("elsewhere")).Should(HaveField("Misplaced", true))
	g.Eventually(r.latest("service")).Should(And(HaveField("Target.Name", "service"), HaveField("Err", BeNil())))
}

// Guards against sequential probing: after the loss of a rack, the probes of its
// unresponsive servers each run to the timeout and would block those of healthy
// servers.
func TestUnresponsiveServersDoNotDelayOtherProbes(t *testing.T) {
	g := NewWithT(t)
	var bytes atomic.Int64
	live := startEngine(t, "live", &bytes)
	targets := []probe.Target{{Name: "live", Address: live.Address()}}
	for i := range 8 {
		unresponsive := startEngine(t, fmt.Sprintf("rack-%d", i), &bytes)
		unresponsive.Stall()
		targets = append(targets, probe.Target{Name: unresponsive.Name(), Address: unresponsive.Address()})
	}
	p, r := run(t, probe.Options{Interval: 10 * time.Millisecond, Timeout: time.Hour, MaxPerSecond: 1000})
	p.SetTargets(targets)
	g.Eventually(func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.count["live"]
	}).Should(BeNumerically(">", 5))
}

// Guards against a VM short of CPU time that suspects healthy servers and reports
// this to other VMs: a wall-clock timeout also counts the VM's own scheduling
// delay, so that it expires before the VM handles the answer.
func TestCPUStarvedVMReportsNoProbeTimeouts(t *testing.T) {
	g := NewWithT(t)
	late := startEngine(t, "late", new(atomic.Int64))
	late.Stall()
	clock := schedclock.New()
	clock.Heartbeat()
	p, r := run(t, probe.Options{Clock: clock, Interval: 10 * time.Millisecond, Timeout: 50 * time.Millisecond, MaxPerSecond: 1000})
	p.SetTargets([]probe.Target{{Name: "late", Address: late.Address()}})
	g.Consistently(r.latest("late"), "500ms").Should(HaveField("Err", Succeed()))
	late.Recover()
	g.Eventually(r.latest("late")).Should(And(HaveField("Err", Succeed()), HaveField("Capabilities.Server", "late")))
	late.Stall()
	go func() { _ = clock.Run(t.Context()) }()
	g.Eventually(r.latest("late")).Should(HaveField("Err", HaveOccurred()))
}

// BenchmarkProbe measures one probe of an engine: bytes in both directions above
// TCP, and the CPU time of client and simulated engine together.
func BenchmarkProbe(b *testing.B) {
	var bytes atomic.Int64
	e := startEngine(b, "bornova-runner-001", &bytes)
	engines := engine.NewHTTPClient()
	query := func() {
		if _, err := engines.Capabilities(b.Context(), e.Address()); err != nil {
			b.Fatal(err)
		}
	}
	query()
	before, cpu := bytes.Load(), testutil.CPUTime(b)
	for b.Loop() {
		query()
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(testutil.CPUTime(b)-cpu)/float64(time.Microsecond)/float64(b.N), "cpu-µs/op")
}
