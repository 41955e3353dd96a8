// Package vmlimits compares a VM's usage with its own limits, and decides when the VM is saturated:
// it then refuses new requests and, if that lasts, leaves the load balancer's rotation. The package
// does no I/O and reads no clock; it is not safe for concurrent use.
package vmlimits

import (
	"math"
	"time"
)

// Parameters of a Monitor.
const (
	// SampleInterval is the interval at which samples are taken.
	SampleInterval = 100 * time.Millisecond
	// window is the minimum time over which rates are measured. A processor quota is granted in periods
	// of 100 ms, so over less time a VM within its limit appears to exceed it.
	window = 200 * time.Millisecond
	// startFraction is the fraction of a limit above which the VM is saturated after holdTime, and
	// endFraction the one below which saturation ends.
	startFraction = 0.9
	endFraction   = 0.75
	holdTime      = 200 * time.Millisecond
	// leaveTime is the time from the start of saturation after which the VM leaves the balancer's
	// rotation.
	leaveTime = 2 * holdTime
	// relapseTime is the time after saturation within which it begins again without holdTime, and for
	// which the VM stays out of rotation: while the balancer prefers this VM, its usage exceeds the limit
	// again as soon as it accepts requests, and holdTime would each time let a backlog build up.
	relapseTime = 5 * time.Second
	// maxSampleAge is how long a sample counts. A wrong measurement must not refuse requests for long.
	maxSampleAge = time.Second
	// stallDelay is the timer delay from which on the process counts as stalled. A VM that uses up its
	// processor quota is stopped for up to 100 ms at a time.
	stallDelay = 250 * time.Millisecond
	// settleTime is how long no saturation begins after a stall, since work that has piled up is done
	// at once.
	settleTime = 500 * time.Millisecond
)

// Resource is what a limit applies to.
type Resource string

// The resources.
const (
	Processor   Resource = "processor"
	Link        Resource = "link"
	Memory      Resource = "memory"
	Descriptors Resource = "descriptors"
)

// Resources returns all resources.
func Resources() []Resource { return []Resource{Processor, Link, Memory, Descriptors} }

// Limits are the limits of a VM. A resource whose limit is 0 is never saturated.
type Limits struct {
	// Cores is the processor time per second that the VM may use, in cores.
	Cores float64
	// LinkMbps is the capacity of the network link in each direction, in Mbit/s.
	LinkMbps float64
	// MemoryMB is the memory in MB.
	MemoryMB float64
	// Descriptors is the number of file descriptors.
	Descriptors int
}

// Any reports whether any resource is limited.
func (l Limits) Any() bool { return l != (Limits{}) }

// Sample is one measurement. Negative values are unknown.
type Sample struct {
	// ProcessorTime is the processor time that the process has used since its start.
	ProcessorTime time.Duration
	// Forwarded is the number of bytes that were forwarded since the start, each counted once.
	Forwarded int64
	// MemoryMB is the memory in use.
	MemoryMB float64
	// Descriptors is the number of open file descriptors.
	Descriptors int
	// TimerDelay is by how much the timer of the sample was late.
	TimerDelay time.Duration
}

// Usage is the usage of the resources as fractions of their limits, 0 where it or the limit is unknown.
type Usage struct {
	Processor, Link, Memory, Descriptors float64
	// TimerDelay is that of the last sample.
	TimerDelay time.Duration
}

// Of returns the usage of a resource.
func (u Usage) Of(resource Resource) float64 {
	switch resource {
	case Processor:
		return u.Processor
	case Link:
		return u.Link
	case Memory:
		return u.Memory
	default:
		return u.Descriptors
	}
}

// highest returns the resource that is used most in relation to its limit.
func (u Usage) highest() (resource Resource, usage float64) {
	for _, r := range Resources() {
		if of := u.Of(r); resource == "" || of > usage {
			resource, usage = r, of
		}
	}
	return resource, usage
}

// State is what a Monitor decided.
type State struct {
	Usage Usage
	// Saturated is set while new requests are to be refused. Resource is the one that is used most, and
	// Since is when saturation began.
	Saturated bool
	Resource  Resource
	Since     time.Duration
	// Leaves is set while the VM is to be out of the balancer's rotation. It stays set for a time after
	// saturation.
	Leaves bool
}

// Monitor decides whether a VM is saturated.
type Monitor struct {
	limits Limits
	// samples are the recent ones, from the newest that is at least a window older than the last one.
	samples []timedSample
	usage   Usage
	// aboveSince is since when the usage has been above startFraction, if above is set.
	above          bool
	aboveSince     time.Duration
	saturated      bool
	saturatedSince time.Duration
	// relapses is set from the start of saturation until there was none for relapseTime. leavesAt is when
	// the VM leaves the rotation, and saturatedAt when it was last saturated.
	relapses              bool
	leavesAt, saturatedAt time.Duration
	// settledAt is when saturation may begin after a stall.
	settledAt time.Duration
}

type timedSample struct {
	at time.Duration
	Sample
}

// New returns a Monitor without samples.
func New(limits Limits) *Monitor { return &Monitor{limits: limits} }

// SetLimits changes the limits.
func (m *Monitor) SetLimits(limits Limits) { m.limits = limits }

// Observe records a sample.
func (m *Monitor) Observe(now time.Duration, sample Sample) {
	last, ok := m.last()
	if ok && now <= last.at {
		return
	}
	next := timedSample{now, sample}
	stalled := sample.TimerDelay >= stallDelay && m.processor(last, next) <= startFraction
	if ok && (now-last.at >= maxSampleAge || stalled) {
		m.restart()
		m.settledAt = now + settleTime
	} else if ok && reset(last.Sample, sample) {
		m.restart()
	}
	m.samples = append(m.samples, next)
	for len(m.samples) > 1 && now-m.samples[1].at >= window {
		m.samples = m.samples[1:]
	}
	m.usage = m.measure(m.samples[0], next)
	m.decide(now)
}

// restart forgets what was measured: after a stall the rates before and during it say nothing.
func (m *Monitor) restart() {
	m.samples, m.usage, m.above, m.saturated, m.relapses = nil, Usage{}, false, false, false
}

// reset reports whether a counter was set back, so that rates can't be computed.
func reset(before, after Sample) bool {
	return after.ProcessorTime < before.ProcessorTime || after.Forwarded < before.Forwarded
}

func (m *Monitor) last() (timedSample, bool) {
	if len(m.samples) == 0 {
		return timedSample{}, false
	}
	return m.samples[len(m.samples)-1], true
}

func (m *Monitor) measure(first, last timedSample) Usage {
	usage := Usage{
		Memory:      fraction(last.MemoryMB, m.limits.MemoryMB),
		Descriptors: fraction(float64(last.Descriptors), float64(m.limits.Descriptors)),
		TimerDelay:  last.TimerDelay,
	}
	if elapsed := last.at - first.at; elapsed >= window {
		usage.Processor = m.processor(first, last)
		if first.Forwarded >= 0 {
			usage.Link = fraction(float64(last.Forwarded-first.Forwarded)*8/1e6/elapsed.Seconds(), m.limits.LinkMbps)
		}
	}
	return usage
}

// processor returns the usage of the processor between two samples.
func (m *Monitor) processor(first, last timedSample) float64 {
	if first.at == 0 || last.at <= first.at || first.ProcessorTime < 0 {
		return 0
	}
	return fraction((last.ProcessorTime-first.ProcessorTime).Seconds()/(last.at-first.at).Seconds(), m.limits.Cores)
}

// fraction returns usage as a fraction of limit, 0 where either is unknown.
func fraction(usage, limit float64) float64 {
	if f := usage / limit; usage > 0 && limit > 0 && !math.IsInf(f, 0) {
		return f
	}
	return 0
}

func (m *Monitor) decide(now time.Duration) {
	_, usage := m.usage.highest()
	switch {
	case usage <= startFraction:
		m.above = false
	case !m.above:
		m.above, m.aboveSince = true, now
	}
	switch {
	case m.saturated:
		m.saturated = usage >= endFraction
	case m.above && (m.relapses || now-m.aboveSince >= holdTime) && now >= m.settledAt:
		m.saturated, m.saturatedSince = true, now
	}
	switch {
	case m.saturated && !m.relapses:
		m.relapses, m.leavesAt, m.saturatedAt = true, now+leaveTime, now
	case m.saturated:
		m.saturatedAt = now
	case now-m.saturatedAt >= relapseTime:
		m.relapses = false
	}
}

// State returns the state of the VM. It isn't saturated without a recent sample.
func (m *Monitor) State(now time.Duration) State {
	last, ok := m.last()
	if !ok || now-last.at >= maxSampleAge {
		return State{}
	}
	state := State{Usage: m.usage, Leaves: m.relapses && now >= m.leavesAt}
	if m.saturated {
		state.Saturated, state.Since = true, m.saturatedSince
		state.Resource, _ = m.usage.highest()
	}
	return state
}

// maxLeavingFraction is the largest fraction of a data centre's VMs that leave the balancer's rotation
// because they are saturated. The balancer uses all VMs when fewer than half are in rotation, and some
// are stopping or lost.
const maxLeavingFraction = 1.0 / 3

// MayLeave reports whether a VM may leave the balancer's rotation while it is saturated. rank is its
// rank by cores among the live VMs of its data centre, 0 for the largest. The same VMs may leave in the
// view of each, so they don't have to agree, and requests move to larger ones.
func MayLeave(rank, vms int) bool {
	return rank >= vms-int(maxLeavingFraction*float64(vms))
}
