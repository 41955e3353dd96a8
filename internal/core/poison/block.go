package poison

import (
	"maps"
	"slices"
	"time"
)

// blockDelay is how long this VM waits for other VMs to report their suspects of a
// crash before it blocks its own only suspect. A server's batch contains streams of
// several VMs: without the wait each VM would block its own single stream on the
// server, although at most one of them caused the crash.
const blockDelay = 1500 * time.Millisecond

// gossipDelay is the approximate time for a block to reach the other VMs.
const gossipDelay = 500 * time.Millisecond

// pendingBlock is a block that is not yet in effect.
type pendingBlock struct {
	// server is the server whose crash the body explains.
	server string
	at     time.Duration
	// remote is set if another VM decides and this VM waits for its finding.
	remote bool
}

// BlockDue returns when a pending block of the body takes effect unless another VM
// contradicts it; false if none is pending.
func (t *Table) BlockDue(body Body) (time.Duration, bool) {
	block, ok := t.pendingBlocks[body]
	return block.at, ok
}

// applyDueBlocks blocks the bodies whose waiting time is over.
func (t *Table) applyDueBlocks(now time.Duration) []Finding {
	var changed []Finding
	for _, body := range slices.SortedFunc(maps.Keys(t.pendingBlocks), CompareBodies) {
		if now < t.pendingBlocks[body].at {
			continue
		}
		remote := t.pendingBlocks[body].remote
		delete(t.pendingBlocks, body)
		if finding := t.find(now, body); finding != nil && !remote {
			finding.Blocked = true
			changed = append(changed, *finding)
		}
	}
	return changed
}

// awaitRemoteDecision holds a body back while another VM may still be deciding
// whether to block it. If it were sent to this VM in that time, it would crash one
// more server.
func (t *Table) awaitRemoteDecision(now time.Duration, learned Finding) {
	current, ok := t.pendingBlocks[learned.Body]
	if ok && !current.remote {
		return
	}
	until := learned.At + blockDelay + gossipDelay
	if learned.Blocked || learned.Crashes < crashesToIsolate || until <= now {
		delete(t.pendingBlocks, learned.Body)
		return
	}
	t.pendingBlocks[learned.Body] = pendingBlock{server: learned.Server, at: until, remote: true}
}

// cancelConflictingBlocks cancels pending blocks if another VM suspects a different
// body of the same crash. Both bodies then run isolated, and the next crash decides
// between them.
func (t *Table) cancelConflictingBlocks(learned Finding) {
	if learned.Crashes < crashesToIsolate {
		return
	}
	for body, block := range t.pendingBlocks {
		if block.server == learned.Server && body != learned.Body {
			delete(t.pendingBlocks, body)
		}
	}
}

// explainedByOtherFinding reports whether a finding of another body already explains
// the same crash, because it arrived from another VM before this VM's own
// evaluation.
func (t *Table) explainedByOtherFinding(now time.Duration, finding Finding) bool {
	for element := t.order.Back(); element != nil; element = element.Prev() {
		other := element.Value.(*Finding)
		if other.Server == finding.Server && other.Body != finding.Body &&
			other.Crashes >= crashesToIsolate && now-other.At <= proofTimeout {
			return true
		}
	}
	return false
}
