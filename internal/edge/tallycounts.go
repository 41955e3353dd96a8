package edge

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/peer"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// countsHandover keeps the last counts of the data centre that this VM learnt from its hub, and
// passes them on once when another process answers: a hub that has started knows nothing of VMs
// that ended before.
type countsHandover struct {
	// process answered last. known are the last complete counts, and next those to pass on.
	process     uint64
	known, next tally.Counts
}

// take returns the counts to pass on with the next report, if any.
func (c *countsHandover) take() tally.Counts {
	next := c.next
	c.next = tally.Counts{}
	return next
}

// recordAnswer records an answer of a hub's process and the counts in it, which are without a time if
// the hub doesn't know them. What the process before it knew is passed on.
func (c *countsHandover) recordAnswer(process uint64, counts tally.Counts) {
	if c.process != process {
		c.process, c.next = process, c.known
	}
	if counts.At > 0 {
		c.known = counts
	}
}

// encodeCount converts a history to its message, without the zeros at its end.
func encodeCount(history budget.History) *tallyv1.Count {
	total := history.Total()
	count := &tallyv1.Count{Requests: uint32(total.Requests), Repeats: uint32(total.Retries)}
	length := len(history)
	for length > 0 && history[length-1] == (budget.Count{}) {
		length--
	}
	for _, part := range history[:length] {
		count.RequestsByAge = append(count.RequestsByAge, uint32(max(part.Requests, 0)))
		count.RepeatsByAge = append(count.RepeatsByAge, uint32(max(part.Retries, 0)))
	}
	return count
}

// encodeCounts converts counts to their message and to their age at a time.
func encodeCounts(from tally.Counts, now time.Duration) (counts map[string]*tallyv1.Count, age *uint64) {
	counts = make(map[string]*tallyv1.Count, len(from.Histories))
	for service, history := range from.Histories {
		counts[service] = encodeCount(history)
	}
	micros := uint64(max(now-from.At, 0).Microseconds())
	return counts, &micros
}

// decodeCount is the inverse of encodeCount. Counts without ages count as made now.
func decodeCount(count *tallyv1.Count) (history budget.History) {
	requests, retries := count.GetRequestsByAge(), count.GetRepeatsByAge()
	if len(requests) == 0 {
		history[0] = budget.Count{Requests: int(count.GetRequests()), Retries: int(count.GetRepeats())}
		return history
	}
	for age := range min(len(requests), len(retries), len(history)) {
		history[age] = budget.Count{Requests: int(requests[age]), Retries: int(retries[age])}
	}
	return history
}

func decodeCounts(counts map[string]*tallyv1.Count) map[string]budget.History {
	histories := make(map[string]budget.History, len(counts))
	for service, count := range counts {
		histories[service] = decodeCount(count)
	}
	return histories
}

// decodeInherited returns the counts that a VM passes on in a request received at a time. Without any
// they have no time.
func decodeInherited(request *tallyv1.TellRequest, now time.Duration) tally.Counts {
	if request.InheritedAgeMicros == nil {
		return tally.Counts{}
	}
	return tally.Counts{At: now - peer.AgeFromMicros(request.GetInheritedAgeMicros()), Histories: decodeCounts(request.GetInherited())}
}

// decodeKnownCounts returns the counts of this VM's data centre in the answer to a request that was
// sent at a time. Without any they have no time.
func decodeKnownCounts(answer *tallyv1.TellResponse, sent time.Duration) tally.Counts {
	if answer.OwnDataCentreAgeMicros == nil {
		return tally.Counts{}
	}
	return tally.Counts{At: sent - peer.AgeFromMicros(answer.GetOwnDataCentreAgeMicros()), Histories: decodeCounts(answer.GetOwnDataCentre())}
}
