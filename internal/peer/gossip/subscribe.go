package gossip

import (
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

// subscribers holds the callbacks. They are called in order, one at a time, and
// must not block for long.
type subscribers struct {
	entries []entrySubscriber
	gauges  []func(Gauge)
	vms     []func(fleet.VMStatus)
}

type entrySubscriber struct {
	prefix string
	call   func(Entry)
}

// Entry is an entry of another VM; an empty value means that it was withdrawn.
type Entry struct {
	VM string
	// Key is the key without the subscribed prefix.
	Key   string
	Value []byte
}

// Gauge is a small number published by a VM of this data centre.
type Gauge struct {
	VM    string
	Key   uint32
	Level uint32
	// Age is the time since the measurement, to within a round.
	Age time.Duration
}

// OnEntry subscribes to changes of the other VMs' entries under a prefix. It must
// be called before Run. Changes written as urgent are pushed at once.
func (g *Gossip) OnEntry(prefix string, call func(Entry)) {
	g.subscribers.entries = append(g.subscribers.entries, entrySubscriber{prefix, call})
}

// OnGauge subscribes to gauges. It must be called before Run.
func (g *Gossip) OnGauge(call func(Gauge)) {
	g.subscribers.gauges = append(g.subscribers.gauges, call)
}

// OnVM subscribes to changes of other VMs' statuses. It must be called before Run.
func (g *Gossip) OnVM(call func(fleet.VMStatus)) {
	g.subscribers.vms = append(g.subscribers.vms, call)
}

// enqueueCallback queues a callback. It must be called with the lock held.
func (g *Gossip) enqueueCallback(call func()) { g.callbacks = append(g.callbacks, call) }

// runCallbacks runs the queued callbacks in the order of the changes. Out of order, an
// entry that arrives after its own withdrawal would stay forever.
func (g *Gossip) runCallbacks() {
	g.notifyMu.Lock()
	defer g.notifyMu.Unlock()
	for {
		g.mu.Lock()
		callbacks := g.callbacks
		g.callbacks = nil
		g.mu.Unlock()
		if len(callbacks) == 0 {
			return
		}
		for _, call := range callbacks {
			call()
		}
	}
}

func (g *Gossip) announceEntry(vm, key string, value []byte) {
	for _, subscriber := range g.subscribers.entries {
		if key, ok := strings.CutPrefix(key, subscriber.prefix); ok {
			g.enqueueCallback(func() { subscriber.call(Entry{VM: vm, Key: key, Value: value}) })
		}
	}
}

func (g *Gossip) announceGauges(gauges []digest.GaugeUpdate) {
	if len(g.subscribers.gauges) == 0 {
		return
	}
	for _, gauge := range gauges {
		age := time.Duration(gauge.HeartbeatsAgo) * g.options.Interval
		for _, call := range g.subscribers.gauges {
			g.enqueueCallback(func() { call(Gauge{VM: gauge.Witness, Key: gauge.Key, Level: gauge.Level, Age: age}) })
		}
	}
}

func (g *Gossip) announceVM(vm fleet.VMStatus) {
	for _, call := range g.subscribers.vms {
		g.enqueueCallback(func() { call(vm) })
	}
}
