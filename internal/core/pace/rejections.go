package pace

import "time"

const (
	// rejectionWindow is the time over which rejections are compared with the streams sent. Streams that
	// were sent before a decrease are judged in the next one at the latest.
	rejectionWindow = 250 * time.Millisecond
	// maxRejected is the fraction of the streams sent in a window that servers may reject, and
	// minRejections the least number of rejections that count: single ones follow from the loss of a
	// server or its restart.
	maxRejected   = 0.05
	minRejections = 3
	// rejectionDecrease is the factor by which the running limit falls below the streams in use.
	rejectionDecrease = 0.85
	// cautiousPeriod is how long after a decrease the running limit grows by cautiousGrowth per second
	// only, as the gaps of streams don't show how much memory is left.
	cautiousPeriod = 3 * time.Second
	cautiousGrowth = 0.4
)

// rejections lowers the running limit while servers reject streams for lack of capacity (additive
// increase, multiplicative decrease; Chiu and Jain 1989). The loads of other VMs that this VM knows are a
// moment old, so that VMs under overload would go on filling servers beyond their memory.
type rejections struct {
	windowStart    time.Duration
	sent, rejected int
	loweredAt      time.Duration
	// grownAt is up to when the limit has grown since.
	grownAt time.Duration
}

// Rejected records that a server rejected a stream for lack of capacity. The stream ends as usual.
func (l *Limiter) Rejected(now time.Duration) {
	r := &l.rejections
	r.begin(now)
	r.rejected++
	if r.rejected < minRejections || float64(r.rejected) < maxRejected*float64(r.sent) || r.loweredAt != 0 && now < r.loweredAt+rejectionWindow {
		return
	}
	inUse := float64(l.all)
	if l.running.limit > 0 {
		inUse = min(inUse, l.running.limit)
	}
	l.running.limit = max(rejectionDecrease*inUse, minRunning)
	l.running.loweredAt, l.lowered = now, Running
	l.decreases++
	*r = rejections{windowStart: now, loweredAt: now, grownAt: now}
}

// begin begins a window if the current one is over.
func (r *rejections) begin(now time.Duration) {
	if now >= r.windowStart+rejectionWindow {
		r.windowStart, r.sent, r.rejected = now, 0, 0
	}
}

// cautious reports whether the running limit grows slowly.
func (r *rejections) cautious(now time.Duration) bool {
	return r.loweredAt != 0 && now < r.loweredAt+cautiousPeriod
}

// grow raises the running limit after a decrease for rejections, if it is in use.
func (l *Limiter) grow(now time.Duration) {
	r := &l.rejections
	if !r.cautious(now) || l.running.limit == 0 {
		return
	}
	if l.running.fullAt > r.grownAt {
		l.running.limit += cautiousGrowth * l.running.limit * (now - r.grownAt).Seconds()
	}
	r.grownAt = now
}
