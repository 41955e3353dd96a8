package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// minWindow and minWindowSamples are the minimum duration and number of
	// samples of a measurement window. A window also ends after maxWindow.
	minWindow        = 500 * time.Millisecond
	maxWindow        = 2 * time.Second
	minWindowSamples = 8
	// The baseline is the minimum latency of the last baselineSpans spans of
	// baselineSpan each. It counts as uncongested. It covers a long time, since a
	// lasting overload would otherwise become its own baseline.
	baselineSpans = 60
	baselineSpan  = 10 * time.Second
	// decreaseFactor is the factor by which congestion lowers the limit.
	decreaseFactor = 0.9
	// minThroughputGain is the factor by which throughput must grow to justify a
	// higher latency, as when batches grow.
	minThroughputGain = 1.05
	// maxWaitingShare is the fraction of a pool's streams in engines' queues
	// above which the servers count as congested.
	maxWaitingShare = 0.25
	// maxRefusedShare is the fraction of dispatches refused by servers above
	// which they count as congested.
	maxRefusedShare = 0.1
	// maxReportAge is how long a server's report is used.
	maxReportAge = 3 * time.Second
	// minLimit is the minimum limit of a pool.
	minLimit = 8
)

// limiter adapts the concurrency limit of a pool of backend servers. It raises
// the limit while the limit is reached and lowers it when the servers are full:
// streams wait in engines' queues or servers refuse requests. If no server
// reports, as with plain services, it uses the latency per unit of work: the
// limit falls when that has grown well past its recent minimum without more
// throughput. The limit never falls below a floor, since a latency that grew for
// another reason, such as larger requests, would otherwise close the pool step
// by step.
type limiter struct {
	options Options
	limit   float64
	floor   float64
	servers int
	// saturated is true if the limit was reached in this window.
	saturated bool
	refused   int

	started         bool
	windowStart     time.Duration
	samples         int
	latencySum      float64 // sum over samples, in seconds per unit of work
	units           float64
	throughput      float64   // of the last window, in units of work per second
	baseline        []float64 // minimum latency per span, oldest first
	baselineSpanEnd time.Duration
	reports         map[string]serverReport
}

type serverReport struct {
	at               time.Duration
	running, waiting int
}

func newLimiter(options Options) limiter {
	l := limiter{options: options, reports: make(map[string]serverReport)}
	l.setServers(1, 1)
	return l
}

// setServers sets the floor, and raises the limit for each added server.
func (l *limiter) setServers(servers, liveVMs int) {
	servers = max(servers, 1)
	l.floor = max(minLimit, float64(servers*l.options.FloorPerServer)/float64(max(liveVMs, 1)))
	if servers > l.servers {
		l.limit += float64((servers - l.servers) * l.options.PerServer)
	}
	l.servers = servers
	l.clamp()
}

func (l *limiter) clamp() {
	l.limit = min(max(l.limit, l.floor), float64(l.options.MaxLimit))
}

func (l *limiter) report(now time.Duration, server string, running, waiting int) {
	if _, known := l.reports[server]; !known && len(l.reports) >= l.servers+l.options.PerServer {
		l.dropStale(now)
	}
	l.reports[server] = serverReport{at: now, running: running, waiting: waiting}
}

func (l *limiter) dropStale(now time.Duration) {
	for name, report := range l.reports {
		if now-report.at > maxReportAge {
			delete(l.reports, name)
		}
	}
}

// sample adds a finished request, with its duration and its work.
func (l *limiter) sample(now, duration time.Duration, units float64) {
	if !l.started {
		l.started = true
		l.windowStart = now
	}
	l.samples++
	l.latencySum += duration.Seconds() / units
	l.units += units
	span := now - l.windowStart
	if span < minWindow || l.samples < minWindowSamples && span < maxWindow {
		return
	}
	l.adjust(now, span)
	l.windowStart, l.samples, l.latencySum, l.units, l.refused, l.saturated = now, 0, 0, 0, 0, false
}

// adjust updates the limit at the end of a window.
func (l *limiter) adjust(now, span time.Duration) {
	throughput := l.units / span.Seconds()
	gained := throughput > minThroughputGain*l.throughput
	l.throughput = throughput
	slow := l.latencyExceeded(now)
	overloaded, reported := l.serversOverloaded(now)
	switch {
	case overloaded || slow && !gained && !reported:
		l.limit *= decreaseFactor
	case l.saturated:
		l.limit += math.Sqrt(l.limit)
	}
	l.clamp()
}

// serversOverloaded reports whether the servers signal that they are full, and
// whether any of them reports at all.
func (l *limiter) serversOverloaded(now time.Duration) (overloaded, reported bool) {
	if float64(l.refused) > maxRefusedShare*float64(l.samples) {
		return true, true
	}
	running, waiting := 0, 0
	for _, report := range l.reports {
		if now-report.at <= maxReportAge {
			reported = true
			running += report.running
			waiting += report.waiting
		}
	}
	return float64(waiting) > maxWaitingShare*float64(running+waiting), reported
}

// latencyExceeded reports whether the latency per unit of work has grown past
// the tolerance.
func (l *limiter) latencyExceeded(now time.Duration) bool {
	mean := l.latencySum / float64(l.samples)
	if len(l.baseline) == 0 || now >= l.baselineSpanEnd {
		l.baselineSpanEnd = now + baselineSpan
		l.baseline = append(l.baseline, mean)
		if len(l.baseline) > baselineSpans {
			l.baseline = slices.Delete(l.baseline, 0, 1)
		}
	}
	last := len(l.baseline) - 1
	l.baseline[last] = min(l.baseline[last], mean)
	return l.saturated && mean > l.options.Tolerance*slices.Min(l.baseline)
}
