package tally

import (
	"container/list"
	"math"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// idleRetention is how long a log remembers a server without load. A VM that was last updated
// before gets all loads.
const idleRetention = 10 * time.Second

// A change of the load of a server elsewhere is minor up to minorLoads units and minorRunning
// requests, which is two usual requests, or up to minorFraction of what was announced.
const (
	minorLoads    = 16
	minorRunning  = 2
	minorFraction = 0.25
)

// loadLog orders servers by the last change of their load, so that a VM that knows all changes up to
// a version gets only later ones.
type loadLog struct {
	epoch   uint64
	version uint64
	// floor is the version up to which servers without load may have been dropped.
	floor   uint64
	isLocal func(server string) bool
	servers map[string]*list.Element
	// local and elsewhere hold *loggedLoad, the last changed in front.
	local, elsewhere *list.List
}

// loggedLoad is the load of a server, with the version and the time of its last change.
type loggedLoad struct {
	id      string
	load    backends.Usage
	version uint64
	at      time.Duration
	in      *list.List
}

func newLoadLog(epoch uint64, isLocal func(server string) bool) loadLog {
	return loadLog{epoch: epoch, isLocal: isLocal, servers: make(map[string]*list.Element), local: list.New(), elsewhere: list.New()}
}

// record records the new load of a server.
func (l *loadLog) record(now time.Duration, id string, load backends.Usage) {
	element, ok := l.servers[id]
	if !ok {
		in := l.elsewhere
		if l.isLocal(id) {
			in = l.local
		}
		element = in.PushFront(&loggedLoad{id: id, in: in})
		l.servers[id] = element
	}
	logged := element.Value.(*loggedLoad)
	if ok && logged.in == l.elsewhere && isMinor(logged.load, load) {
		return
	}
	logged.load = load
	l.touch(now, element)
	l.dropIdle(now, logged.in)
}

// isMinor reports whether a change of the load of a server elsewhere is too small to be announced.
// Requests go there only when the own data centre can't take them, and of all changes in a large
// deployment most are elsewhere. The end of all load is never minor.
func isMinor(announced, load backends.Usage) bool {
	if load == (backends.Usage{}) || announced == (backends.Usage{}) {
		return load == announced
	}
	return math.Abs(load.Memory-announced.Memory) <= max(minorLoads*LoadUnit, announced.Memory*minorFraction) &&
		math.Abs(float64(load.Running-announced.Running)) <= max(minorRunning, float64(announced.Running)*minorFraction)
}

// touch makes a server the last changed one.
func (l *loadLog) touch(now time.Duration, element *list.Element) {
	l.version++
	logged := element.Value.(*loggedLoad)
	logged.version, logged.at = l.version, now
	logged.in.MoveToFront(element)
}

// dropIdle drops the servers that have had no load for idleRetention. It announces a server anew
// whose load didn't change for so long, so that it doesn't keep those changed after it.
func (l *loadLog) dropIdle(now time.Duration, order *list.List) {
	for oldest := order.Back(); oldest != nil; oldest = order.Back() {
		logged := oldest.Value.(*loggedLoad)
		if now-logged.at <= idleRetention {
			return
		}
		if logged.load != (backends.Usage{}) {
			l.touch(now, oldest)
			continue
		}
		order.Remove(oldest)
		delete(l.servers, logged.id)
		l.floor = max(l.floor, logged.version)
	}
}

// since returns the loads that changed since the versions that a VM has, or all loads if it has none
// of this log, and what the VM has then.
func (l *loadLog) since(known LoadVersions, elsewhere bool) (loads []ServerLoad, complete bool, now LoadVersions) {
	complete = known.Epoch != l.epoch || min(known.Local, known.Elsewhere) < l.floor || max(known.Local, known.Elsewhere) > l.version
	if complete {
		known = LoadVersions{}
	}
	now = LoadVersions{Epoch: l.epoch, Local: l.version, Elsewhere: known.Elsewhere}
	loads = changedSince(l.local, known.Local, nil)
	if elsewhere || complete {
		loads = changedSince(l.elsewhere, known.Elsewhere, loads)
		now.Elsewhere = l.version
	}
	return loads, complete, now
}

func changedSince(order *list.List, version uint64, loads []ServerLoad) []ServerLoad {
	for element := order.Front(); element != nil; element = element.Next() {
		logged := element.Value.(*loggedLoad)
		if logged.version <= version {
			break
		}
		loads = append(loads, ServerLoad{logged.id, logged.load})
	}
	return loads
}
