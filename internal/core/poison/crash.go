package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// lossCollectTime is how long after a server crash this VM waits for reports
	// about the streams that ran on it. An earlier evaluation would attribute the
	// crash to the first stream reported.
	lossCollectTime = 200 * time.Millisecond
	// proofTimeout is how long a lost connection waits for proof that the server
	// crashed. Without proof, the link failed or the server was stopped as planned.
	proofTimeout = 10 * time.Second
	// maxCrashes and maxBodiesPerCrash limit the losses that wait for proof.
	maxCrashes        = 1024
	maxBodiesPerCrash = 1024
)

// Loss is an attempt that failed because its connection to a server was lost.
type Loss struct {
	Server string
	// Incarnation is the process that was expected at the server; 0 if unknown.
	Incarnation uint64
	Body        Body
	// Progress is the number of tokens that the attempt delivered.
	Progress int
	// Sent is when the attempt was dispatched.
	Sent time.Duration
}

// crash is the possible crash of one server. It starts with the first lost
// connection and is then proven, refuted, or expires.
type crash struct {
	startedAt      time.Duration
	lastEvidenceAt time.Duration // time of the last loss, or of the proof
	proven         bool
	provenAt       time.Duration
	incarnation    uint64
	// bodies maps each body that was running on the server to its greatest progress.
	bodies map[Body]int
}

// RecordLoss records a lost connection. It counts against no body until the crash of
// the server is proven. It reports whether the loss may turn out to be a crash, in
// which case other VMs should be informed.
func (t *Table) RecordLoss(now time.Duration, loss Loss) bool {
	if loss.Body.Hash == 0 {
		return false
	}
	c := t.openCrash(now, loss.Server)
	if c == nil || c.proven && loss.Sent > c.provenAt {
		// The server had crashed before the attempt was sent to it.
		return false
	}
	if loss.Incarnation != 0 {
		c.incarnation = loss.Incarnation
	}
	c.lastEvidenceAt = now
	progress, known := c.bodies[loss.Body]
	if !known && len(c.bodies) >= maxBodiesPerCrash {
		return false
	}
	if !known {
		t.pendingCrashes[loss.Body]++
	}
	c.bodies[loss.Body] = max(progress, loss.Progress)
	return true
}

// openCrash returns the open crash of a server, and creates it if there is none. It
// returns nil if there are too many.
func (t *Table) openCrash(now time.Duration, server string) *crash {
	c, ok := t.crashes[server]
	if !ok && len(t.crashes) < maxCrashes {
		c = &crash{startedAt: now, incarnation: t.incarnations[server], bodies: make(map[Body]int)}
		t.crashes[server] = c
	}
	return c
}

// closeCrash removes an open crash.
func (t *Table) closeCrash(server string, c *crash) {
	delete(t.crashes, server)
	for body := range c.bodies {
		if t.pendingCrashes[body]--; t.pendingCrashes[body] <= 0 {
			delete(t.pendingCrashes, body)
		}
	}
}

// ConnectionRefused records that no process listens at a server any more.
func (t *Table) ConnectionRefused(now time.Duration, server string) {
	// The proof may arrive before the losses of the streams.
	if c := t.openCrash(now, server); c != nil {
		c.prove(now)
	}
}

// RecordPeerIncarnation records a server's incarnation reported by another VM. The
// report may be outdated, so it proves nothing about an open crash. It only sets the
// process that is expected when a crash begins.
func (t *Table) RecordPeerIncarnation(server string, incarnation uint64) {
	if _, ok := t.crashes[server]; !ok && incarnation != 0 {
		t.incarnations[server] = incarnation
	}
}

// RecordProbedIncarnation records a server's incarnation that this VM's own probe
// observed age ago.
func (t *Table) RecordProbedIncarnation(now, age time.Duration, server string, incarnation uint64) {
	if incarnation == 0 {
		return
	}
	before := t.incarnations[server]
	t.incarnations[server] = incarnation
	c, ok := t.crashes[server]
	if !ok || c.proven {
		return
	}
	if c.incarnation == 0 {
		c.incarnation = before
	}
	switch {
	case c.incarnation != 0 && c.incarnation != incarnation:
		c.prove(now)
	case c.incarnation == incarnation && now-age > c.lastEvidenceAt:
		// The same process answers after the loss, so only the link failed.
		t.closeCrash(server, c)
	}
}

func (c *crash) prove(now time.Duration) {
	if !c.proven {
		c.proven = true
		c.provenAt = now
		c.lastEvidenceAt = max(c.lastEvidenceAt, now)
	}
}

// DecisionPending reports whether a loss of the body waits for proof, evaluation or
// a pending block.
func (t *Table) DecisionPending(body Body) bool {
	_, blockPending := t.pendingBlocks[body]
	if blockPending || t.pendingCrashes[body] > 0 {
		return true
	}
	remoteLosses := t.remoteLossCount(body)
	return remoteLosses > 0 && t.provenCrashesWithExpired(body)+remoteLosses >= crashesToIsolate
}

// CrashCount returns the number of crashes of servers that ran a body, including
// unproven ones.
func (t *Table) CrashCount(now time.Duration, body Body) int {
	if body.Hash == 0 {
		return 0
	}
	return t.provenCrashes(now, body) + t.pendingCrashes[body] + t.remoteLossCount(body)
}

// NextDue returns when Evaluate has to run next; false if nothing is pending.
func (t *Table) NextDue() (time.Duration, bool) {
	due, pending := time.Duration(0), false
	for _, c := range t.crashes {
		if at := c.due(); !pending || at < due {
			due, pending = at, true
		}
	}
	for _, block := range t.pendingBlocks {
		if !pending || block.at < due {
			due, pending = block.at, true
		}
	}
	for _, sites := range t.remoteLosses {
		for _, until := range sites {
			if !pending || until < due {
				due, pending = until, true
			}
		}
	}
	return due, pending
}

func (c *crash) due() time.Duration {
	if c.proven {
		return c.lastEvidenceAt + lossCollectTime
	}
	return c.startedAt + proofTimeout
}

// Evaluate decides the crashes whose collection time is over, and the pending blocks
// that no other VM has contradicted. It returns the findings that changed.
func (t *Table) Evaluate(now time.Duration) []Finding {
	t.expireRemoteLosses(now)
	var changed []Finding
	for _, server := range slices.Sorted(maps.Keys(t.crashes)) {
		c := t.crashes[server]
		if now < c.due() {
			continue
		}
		t.closeCrash(server, c)
		if c.proven {
			changed = append(changed, t.attributeCrash(now, server, c)...)
		}
	}
	return append(changed, t.applyDueBlocks(now)...)
}

// attributeCrash attributes a crash to the bodies that were running on the server.
// Every body becomes at least a suspect. Only those with the most earlier crashes
// count one more: if one of several bodies has crashed a server before, it explains
// this crash too, and the evidence against the others doesn't grow.
func (t *Table) attributeCrash(now time.Duration, server string, c *crash) []Finding {
	progress := c.bodies
	bodies := slices.SortedFunc(maps.Keys(progress), CompareBodies)
	highest := 0
	for _, body := range bodies {
		highest = max(highest, t.provenCrashes(now, body))
	}
	var changed, primarySuspects []Finding
	for _, body := range bodies {
		before := t.provenCrashes(now, body)
		if before != highest && before != 0 {
			continue
		}
		finding := *t.addCrash(now, server, c.incarnation, body)
		changed = append(changed, finding)
		if before == highest {
			primarySuspects = append(primarySuspects, finding)
		}
	}
	if len(primarySuspects) == 1 {
		t.scheduleBlock(now, primarySuspects[0], progress[primarySuspects[0].Body])
	}
	return changed
}

// scheduleBlock schedules the block of a body that alone explains at least two
// crashes, as far as this VM knows. A request that continued well beyond the
// position of its last crash was probably hit by unrelated faults, so a third crash
// has to confirm.
func (t *Table) scheduleBlock(now time.Duration, finding Finding, progress int) {
	if finding.Crashes < crashesToIsolate {
		return
	}
	if finding.Crashes < crashesToBlock && progress >= MinProgressTokens {
		return
	}
	if t.explainedByOtherFinding(now, finding) {
		return
	}
	at := now + blockDelay
	if finding.Crashes >= crashesToBlock {
		// It ran isolated, and waiting would risk one more crash.
		at = now
	}
	t.pendingBlocks[finding.Body] = pendingBlock{server: finding.Server, at: at}
}

func (t *Table) provenCrashes(now time.Duration, body Body) int {
	finding := t.find(now, body)
	if finding == nil {
		return 0
	}
	return finding.Crashes
}
