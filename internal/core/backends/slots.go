package backends

import "oleandershunt.example/oleandershunt/internal/core/routes"

// A server runs as many requests at once as it has slots; further requests wait in its queue. Of a
// path only the first server's slots count.
const (
	// freeSlotFraction is the fraction of a server's slots up to which starting there costs nothing
	// extra. What other VMs sent there in the last half second isn't known yet.
	freeSlotFraction = 0.75
	// fullSlotsCost is the cost of starting where all slots are expected to be taken, as a multiple
	// of the request's cost on the slowest cards. It exceeds the extra cost of any slower path,
	// because a first event that waits for a slot makes the answer late, and a slower path doesn't.
	fullSlotsCost = 2.0
)

// slotCost is the cost of starting at a server, by the fraction of its slots in use. slowest is the
// cost of the request on the slowest cards.
//
// The first server of the cheapest path may have memory for more requests than it has slots. If
// streams get slow for a while, more of them run at once, and further requests wait in its queue.
// If requests arrive about as fast as it completes them, the queue stays after the cause is over:
// all answers of a data centre have late first events while other servers with the first layers are
// idle.
func (f *Fleet) slotCost(s *serverState, slowest float64) float64 {
	if s.Slots <= 0 {
		return 0
	}
	used := f.expectedStarts(s) / float64(s.Slots)
	return max(used-freeSlotFraction, 0) / (1 - freeSlotFraction) * fullSlotsCost * slowest
}

// slowestCost is the cost of a request through all layers on the slowest cards without load.
func slowestCost(engine *routes.Engine, request Request) float64 {
	slowest := 0.0
	for _, card := range engine.Cards {
		slowest = max(slowest, requestMillis(engine, card, engine.StepTime(1), request))
	}
	return slowest
}

// hasSlot reports whether a path may start at a server, since a slot is expected to be free. A request that queues there for long is given up by its caller, and the one that starts next
// finds no memory left on the rest of its path.
func (f *Fleet) hasSlot(s *serverState, request Request) bool {
	return request.IgnoreCapacity || s.Slots <= 0 || f.expectedStarts(s) < float64(s.Slots)
}

// expectedStarts is expectedRunning plus an estimate of what the other VMs have started at a server since
// they last published their loads, as for expectedMemory.
func (f *Fleet) expectedStarts(s *serverState) float64 {
	running := f.expectedRunning(s)
	if f.remoteVMs == 0 {
		return float64(running)
	}
	return float64(running) + float64(max(f.recentAdditions(s).Running, 0))*f.othersDemand(s.Service)
}

// expectedRunning is the number of requests of all VMs that run or queue at a server, as far as
// this VM knows. Until it has the sum of the other VMs' usage, as after a start, it assumes that
// each of them has as many as this VM.
func (f *Fleet) expectedRunning(s *serverState) int {
	if f.remoteVMs == 0 && f.liveVMs > 1 {
		return s.localUsage.Running * f.liveVMs
	}
	return s.localUsage.Running + f.remoteUsage[s.ID].Running
}

// SlotUtilisation returns the fraction of a server's slots that is in use, as far as this VM knows.
func (f *Fleet) SlotUtilisation(id string) float64 {
	s, ok := f.servers[id]
	if !ok || s.Slots <= 0 {
		return 0
	}
	return float64(f.expectedRunning(s)) / float64(s.Slots)
}
