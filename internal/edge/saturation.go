package edge

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime/metrics"
	"slices"
	"sync"
	"syscall"
	"time"

	vmmetrics "github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/vmlimits"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// roleRotation ranks the VMs of a data centre for staying in the balancer's rotation.
const roleRotation = "rotation"

// minStandstill is the delay of a timer from which the process is logged to have stood still. A VM with a
// processor share may be stopped for 100 ms.
const minStandstill = 500 * time.Millisecond

// saturationMonitor measures what the process uses, and says whether the VM is saturated. Without
// limits in the settings it measures nothing.
type saturationMonitor struct {
	log      logr.Logger
	settings func() Settings
	// read takes a sample, without its timer delay.
	read func() vmlimits.Sample
	// ranked returns the live VMs of the data centre, the largest first.
	ranked func() []string
	// forwarded counts the bytes that are forwarded.
	forwarded byteCounter
	// logged is the state of the last log line. Only run uses it.
	logged vmlimits.State

	mu      sync.Mutex
	monitor *vmlimits.Monitor
}

func newSaturationMonitor(p Options) *saturationMonitor {
	m := &saturationMonitor{
		log: p.Log, settings: p.current.get, monitor: vmlimits.New(p.Settings.Limits),
		ranked: func() []string { return []string{p.Settings.VM} },
	}
	reader := newUsageReader()
	m.read = func() vmlimits.Sample {
		sample := reader.read()
		sample.Forwarded = m.forwarded.bytes.Load()
		return sample
	}
	if p.ReadUsage != nil {
		m.read = p.ReadUsage
	}
	return m
}

// countBytes counts the bytes of a listener's connections if the link is limited at the start.
func (m *saturationMonitor) countBytes(listener net.Listener) net.Listener {
	if m.settings().Limits.LinkMbps <= 0 {
		return listener
	}
	return m.forwarded.listener(listener)
}

// state returns the present state.
func (m *saturationMonitor) state() vmlimits.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.State(bootclock.Now())
}

// saturated reports whether new requests are to be refused, and why.
func (m *saturationMonitor) saturated() (detail string, saturated bool) {
	state := m.state()
	if !state.Saturated {
		return "", false
	}
	return fmt.Sprintf("%s used to %.2f of its limit for %d ms", state.Resource, state.Usage.Of(state.Resource), (bootclock.Now() - state.Since).Milliseconds()), true
}

// closesConnections reports whether callers are to use another connection for their next request.
func (m *saturationMonitor) closesConnections() bool { return m.state().Saturated }

// leavesRotation reports whether the balancer is to give this VM no new connections.
func (m *saturationMonitor) leavesRotation() bool {
	if !m.state().Leaves {
		return false
	}
	ranked := m.ranked()
	rank := slices.Index(ranked, m.settings().VM)
	return rank >= 0 && vmlimits.MayLeave(rank, len(ranked))
}

// run takes samples until ctx ends.
func (m *saturationMonitor) run(ctx context.Context) error {
	due := bootclock.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := bootclock.Now()
		interval := settingsPollInterval
		if limits := m.settings().Limits; limits.Any() {
			interval = vmlimits.SampleInterval
			m.observe(now, max(now-due, 0), limits)
		}
		due = now + interval
		timer.Reset(interval)
	}
}

// observe takes a sample at a time.
func (m *saturationMonitor) observe(now, delay time.Duration, limits vmlimits.Limits) {
	if delay >= minStandstill {
		telemetry.VMStoodStill.Log(m.log, "ms", delay.Milliseconds())
	}
	sample := m.read()
	sample.TimerDelay = delay
	m.mu.Lock()
	m.monitor.SetLimits(limits)
	m.monitor.Observe(now, sample)
	state := m.monitor.State(now)
	m.mu.Unlock()
	m.record(now, state, limits)
}

// record updates the metrics, and logs the start and the end of saturation.
func (m *saturationMonitor) record(now time.Duration, state vmlimits.State, limits vmlimits.Limits) {
	for _, resource := range vmlimits.Resources() {
		vmmetrics.GetOrCreateGauge(fmt.Sprintf("oleandershunt_vm_usage_ratio{resource=%q}", resource), nil).Set(state.Usage.Of(resource))
	}
	vmmetrics.GetOrCreateHistogram("oleandershunt_vm_timer_delay_seconds").Update(state.Usage.TimerDelay.Seconds())
	switch before := m.logged; {
	case state.Saturated && !before.Saturated:
		vmmetrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_vm_saturations_total{resource=%q}", state.Resource)).Inc()
		telemetry.VMSaturated.Log(m.log, append(usageFields(state.Usage, limits), "resource", state.Resource)...)
	case !state.Saturated && before.Saturated:
		telemetry.VMUnsaturated.Log(m.log, append(usageFields(state.Usage, limits), "resource", before.Resource, "ms", (now-before.Since).Milliseconds())...)
	}
	m.logged = state
}

// usageFields are the fields of a log line with the inputs of the decision.
func usageFields(usage vmlimits.Usage, limits vmlimits.Limits) []any {
	return []any{
		"processor", usage.Processor, "link", usage.Link, "memory", usage.Memory, "descriptors", usage.Descriptors,
		"timerDelayMs", usage.TimerDelay.Milliseconds(),
		"cores", limits.Cores, "linkMbps", limits.LinkMbps, "memoryMB", limits.MemoryMB, "maxDescriptors", limits.Descriptors,
	}
}

// usageReader reads what the process uses.
type usageReader struct{ memory []metrics.Sample }

func newUsageReader() *usageReader {
	return &usageReader{memory: []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}}
}

func (r *usageReader) read() vmlimits.Sample {
	metrics.Read(r.memory)
	return vmlimits.Sample{
		ProcessorTime: processorTime(),
		MemoryMB:      float64(r.memory[0].Value.Uint64()-r.memory[1].Value.Uint64()) / (1 << 20),
		Descriptors:   openDescriptors(),
	}
}

// processorTime returns the processor time of the process, or -1 if it is unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return -1
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// openDescriptors returns the number of open file descriptors, or -1 if it is unknown. Linux has it as
// the size of the directory since 6.2, and 0 before.
func openDescriptors() int {
	info, err := os.Stat("/proc/self/fd")
	if err != nil || info.Size() == 0 {
		return -1
	}
	return int(info.Size())
}
