package admit

import "time"

// rateWindow is the window over which a rate is measured.
const rateWindow = 5 * time.Second

// minRateSpan keeps the first events from being extrapolated to a very high
// rate.
const minRateSpan = time.Second

// rate measures events per second over the last one to two windows, in constant
// space.
type rate struct {
	started     bool
	windowStart time.Duration // start of the current window
	previous    float64       // events in the previous window
	current     float64
	hasPrevious bool // the previous window was observed in full
}

func (r *rate) add(now time.Duration) {
	r.advance(now)
	r.current++
}

func (r *rate) advance(now time.Duration) {
	switch {
	case !r.started:
		r.started = true
		r.windowStart = now
	case now-r.windowStart >= 2*rateWindow:
		r.previous, r.current, r.hasPrevious = 0, 0, true
		r.windowStart = now
	case now-r.windowStart >= rateWindow:
		r.previous, r.current, r.hasPrevious = r.current, 0, true
		r.windowStart += rateWindow
	}
}

func (r *rate) perSecond(now time.Duration) float64 {
	if !r.started {
		return 0
	}
	r.advance(now)
	span := now - r.windowStart
	if r.hasPrevious {
		span += rateWindow
	}
	return (r.previous + r.current) / max(span, minRateSpan).Seconds()
}
