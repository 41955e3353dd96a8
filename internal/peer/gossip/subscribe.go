package gossip

import (
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

// subscribers are called in order, one at a time, and must not wait long.
type subscribers struct {
	entries []entrySubscriber
	gauges  []func(Gauge)
	vms     []func(fleet.VMStatus)
}

type entrySubscriber struct {
	prefix string
	call   func(Entry)
}

// Entry is what another VM wrote under a key; an empty value withdraws it.
type Entry struct {
	VM string
	// Key is without the prefix subscribed to.
	Key   string
	Value []byte
}

// Gauge is a small number from a VM of this data centre.
type Gauge struct {
	VM    string
	Key   uint32
	Level uint32
	// Age is how long ago it was measured, to within a round.
	Age time.Duration
}

// OnEntry subscribes to the other VMs' entries under a prefix. Their news is
// passed on at once when it is urgent for the one who wrote it. Subscribe before Run.
func (g *Gossip) OnEntry(prefix string, call func(Entry)) {
	g.subscribers.entries = append(g.subscribers.entries, entrySubscriber{prefix, call})
}

// OnGauge subscribes to gauges. Subscribe before Run.
func (g *Gossip) OnGauge(call func(Gauge)) {
	g.subscribers.gauges = append(g.subscribers.gauges, call)
}

// OnVM subscribes to changes of the judgement on other VMs. Subscribe before Run.
func (g *Gossip) OnVM(call func(fleet.VMStatus)) {
	g.subscribers.vms = append(g.subscribers.vms, call)
}

// later queues a call of a subscriber. It must be called with the lock held.
func (g *Gossip) later(call func()) { g.queue = append(g.queue, call) }

// drain calls the subscribers, in the order in which things happened: an
// opinion overtaken by its withdrawal would stay for ever.
func (g *Gossip) drain() {
	g.notify.Lock()
	defer g.notify.Unlock()
	for {
		g.mu.Lock()
		queue := g.queue
		g.queue = nil
		g.mu.Unlock()
		if len(queue) == 0 {
			return
		}
		for _, call := range queue {
			call()
		}
	}
}

func (g *Gossip) announceEntry(vm, key string, value []byte) {
	for _, subscriber := range g.subscribers.entries {
		if rest, ok := strings.CutPrefix(key, subscriber.prefix); ok {
			g.later(func() { subscriber.call(Entry{VM: vm, Key: rest, Value: value}) })
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
			g.later(func() { call(Gauge{VM: gauge.Witness, Key: gauge.Key, Level: gauge.Level, Age: age}) })
		}
	}
}

func (g *Gossip) announceVM(vm fleet.VMStatus) {
	for _, call := range g.subscribers.vms {
		g.later(func() { call(vm) })
	}
}
