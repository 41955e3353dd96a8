package pace

import "time"

// Parameters of the control law.
const (
	// minLimit is the least limit.
	minLimit = 1.0
	// minWindow is the least number of observations in a window, so that a single stalled stream
	// doesn't lower a small limit.
	minWindow = 8
	// maxWindow is the duration after which a window ends with minExpired observations, as on a VM with
	// few streams: older ones say nothing about the present.
	maxWindow  = 2 * time.Second
	minExpired = 2
	// minDecrease and maxDecrease are the factors of the least and the greatest decrease.
	minDecrease, maxDecrease = 0.9, 0.25
	// maxRatio bounds an observation, as a multiple of the set point, so that a quarter of stalled
	// streams doesn't make the average of a window late.
	maxRatio = 1.5
	// increaseGain times the square of the distance from the set point is the increase for an
	// observation. Far below the set point a limit doubles within the time of one observation, as in
	// TCP's slow start; near it, the square keeps VMs that all increase from overshooting.
	increaseGain = 1.4
)

// gradient is a concurrency limit that follows an observed latency.
//
// The control law is that of gradient concurrency limits (Netflix concurrency-limits, after TCP Vegas,
// Brakmo and Peterson 1995): the limit changes in proportion to the distance of the latency from its
// set point, upwards with each observation and downwards once per window of them. A decrease uses
// Little's law: the limit becomes what the throughput of the window completes within the set point,
// which takes one step where the ratio alone takes several. As in TCP a window holds only observations
// of streams that were sent after the last decrease, and a limit that isn't fully used stays.
type gradient struct {
	// limit is 0 until it is first set; nothing is limited then.
	limit float64
	// fullAt is when the limit was last fully used, and inUse the streams that used it when one was last
	// added.
	fullAt time.Duration
	inUse  int
	// windowStart is when the window began; sum and count are the ratios observed in it, and completed
	// the streams that left the limit in it.
	windowStart time.Duration
	sum         float64
	count       int
	completed   int
	// late says that the last window was late, and loweredAt is when the limit was last lowered.
	late      bool
	loweredAt time.Duration
}

// admits reports whether one more stream is within the limit.
func (g *gradient) admits(now time.Duration, inUse int) bool {
	if g.limit == 0 || float64(inUse+1) <= g.limit {
		return true
	}
	g.fullAt = now
	return false
}

// use records how many streams use the limit after one was added.
func (g *gradient) use(now time.Duration, inUse int) {
	g.inUse = inUse
	if float64(inUse+1) > g.limit {
		g.fullAt = now
	}
}

// observe records the latency of a stream that was sent at the given time and reports whether it
// lowered the limit.
func (g *gradient) observe(now, sent, latency, setpoint time.Duration) bool {
	expired := now > g.windowStart+maxWindow
	if expired && g.count < minExpired {
		g.restart(now)
		expired = false
	}
	if sent < g.loweredAt {
		return false
	}
	ratio := min(latency.Seconds()/max(setpoint, 1).Seconds(), maxRatio)
	g.sum += ratio
	g.count++
	if ratio < 1 && g.limit > 0 && g.fullAt >= sent {
		g.limit += increaseGain * (1 - ratio) * (1 - ratio)
	}
	if !expired && (g.count < minWindow || float64(g.count) < g.limit) {
		return false
	}
	mean := g.sum / float64(g.count)
	g.late = mean > 1
	lowered := g.late && (g.limit == 0 || g.fullAt > 0 && g.fullAt >= g.windowStart)
	if lowered {
		g.lower(now, mean, setpoint)
	}
	g.restart(now)
	return lowered
}

// lower decreases the limit after a window whose observations had this mean ratio.
func (g *gradient) lower(now time.Duration, mean float64, setpoint time.Duration) {
	if g.limit == 0 {
		g.limit = float64(g.inUse)
	}
	factor := 1 / mean
	if elapsed := now - g.windowStart; g.completed > 0 && elapsed > 0 {
		factor = min(factor, float64(g.completed)*setpoint.Seconds()/elapsed.Seconds()/g.limit)
	}
	g.limit = max(g.limit*min(max(factor, maxDecrease), minDecrease), minLimit)
	g.loweredAt = now
}

// restart begins a window.
func (g *gradient) restart(start time.Duration) {
	g.windowStart, g.sum, g.count, g.completed = start, 0, 0, 0
}
