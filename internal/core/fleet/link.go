package fleet

import "time"

// Flap damping: a link is suppressed when its flap count reaches suppressFlaps, and
// usable again when the count has decayed to reuseFlaps.
const (
	suppressFlaps = 3
	reuseFlaps    = 1
	maxFlaps      = 6
)

// link is this VM's connection to a backend server.
type link struct {
	reach    Reachability
	failures int
	lastUp   time.Duration
	everUp   bool
	// flaps counts the changes from reachable to unreachable, less those that
	// decayed since decayedAt. Without damping, a link that changes every second
	// would get new streams in each good second and break them in each bad one.
	flaps      int
	decayedAt  time.Duration
	suppressed bool
	// failedRequests counts consecutive failed requests. Probes don't reset it: an
	// engine can answer them while all its streams stall.
	failedRequests int
	pausedUntil    time.Duration
}

func (l *link) recordSuccess(now time.Duration) {
	l.failures = 0
	l.lastUp = now
	l.everUp = true
	l.reach = Reachable
}

// requestSucceeded records an answered request.
func (l *link) requestSucceeded(now time.Duration) {
	l.failedRequests = 0
	l.pausedUntil = 0
	l.recordSuccess(now)
}

// requestFailed records a request whose connection broke or timed out.
func (l *link) requestFailed(now time.Duration, options Options) {
	l.failedRequests++
	if l.failedRequests >= options.RequestFailureThreshold {
		l.pausedUntil = now + options.PauseDuration
	}
	l.recordFailure(now, options.FailureThreshold)
}

// recordFailure records a timeout or a broken connection.
func (l *link) recordFailure(now time.Duration, failureThreshold int) {
	l.failures++
	if l.failures >= failureThreshold && l.reach != ConnectionRefused {
		l.setDown(now, Unresponsive)
	}
}

// recordRefusal records a refused connection. One is enough: it proves that no
// process listens.
func (l *link) recordRefusal(now time.Duration) {
	l.failures++
	l.setDown(now, ConnectionRefused)
}

func (l *link) setDown(now time.Duration, to Reachability) {
	if l.reach == Reachable {
		if l.flaps == 0 {
			l.decayedAt = now
		}
		l.flaps = min(l.flaps+1, maxFlaps)
		l.suppressed = l.suppressed || l.flaps >= suppressFlaps
	}
	l.reach = to
}

// decay lowers the flap count by one for each interval that has passed, and ends a
// pause that has expired.
func (l *link) decay(now, interval time.Duration) {
	for l.flaps > 0 && now-l.decayedAt >= interval {
		l.flaps--
		l.decayedAt += interval
	}
	if l.flaps <= reuseFlaps {
		l.suppressed = false
	}
	if now >= l.pausedUntil {
		l.pausedUntil = 0
	}
}

// down reports whether this VM should not use the link.
func (l *link) down() bool { return l.reach.down() || l.suppressed || l.pausedUntil != 0 }

// changesWithTime reports whether the state of the link can change without new
// evidence.
func (l *link) changesWithTime() bool { return l.flaps > 0 || l.pausedUntil != 0 }

// recentlyUp reports whether the last success is at most within ago and nothing has
// failed since.
func (l *link) recentlyUp(now, within time.Duration) bool {
	return l.everUp && l.failures == 0 && !l.down() && now-l.lastUp <= within
}
