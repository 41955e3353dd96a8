package backends

import "oleandershunt.example/oleandershunt/internal/core/routes"

// The figures of slots. A server works at once on as many requests as it has slots; what is
// sent to it beyond waits in its queue. Of a path only the first server counts.
const (
	// easySlots is the part of a server's slots up to which it costs nothing to begin
	// there. What other VMs sent there in the last half second isn't known yet.
	easySlots = 0.75
	// slotsTaken is the price of beginning where all slots are expected to be taken, in
	// times of the request on the slowest cards: more than a slower path can cost, since a
	// first event that waits for a slot makes the answer late, and a slower path doesn't.
	slotsTaken = 2.0
)

// slotCost is the price of beginning at a server, by how many of its slots are taken.
// slowest is what the request costs on the slowest cards.
//
// What can go wrong: one server is the first of the cheapest path, and has memory for more
// requests than slots. Streams get slow for a while, more of them run at once, and what is
// sent to it beyond its slots waits in its queue. Where requests come about as fast as it
// ends them, the queue lasts though the cause is over. One notices that all answers of a
// data centre have late first events, while other servers with the first layers idle.
func (f *Fleet) slotCost(k *known, slowest float64) float64 {
	if k.Slots <= 0 {
		return 0
	}
	used := float64(f.expectedRunning(k)) / float64(k.Slots)
	return max(used-easySlots, 0) / (1 - easySlots) * slotsTaken * slowest
}

// slowestCost is what a request costs at most through all layers on servers without load.
func slowestCost(engine *routes.Engine, request Request) float64 {
	slowest := 0.0
	for _, card := range engine.Cards {
		slowest = max(slowest, timeOn(engine, card, engine.StepFor(1), request))
	}
	return slowest
}

// expectedRunning is how many requests of all VMs run at a server or wait there, as far as
// this VM knows. While it has no sum, which is so after a start, the others are taken to do
// as it does.
func (f *Fleet) expectedRunning(k *known) int {
	if f.others == 0 && f.live > 1 {
		return k.used.Running * f.live
	}
	return k.used.Running + f.sums[k.ID].Running
}
