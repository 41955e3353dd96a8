// Package pace limits how many streams a VM has at the servers of a service, by the latency that it
// observes.
//
// Servers have memory for several times as many streams as the number whose prompts they can read
// within the latency target. Without a limit on the streams that wait for their first event, an
// overload makes all prompts late, and the work of reading those that callers gave up is lost.
//
// The package does no I/O and reads no clock. A Limiter isn't safe for concurrent use. Times are
// durations since the VM's start.
package pace

import (
	"slices"
	"time"
)

// Set points and weights.
const (
	// startingSetpoint is the fraction of the latency target that the time to the first event is to
	// have; the rest is for the wait in the queue and for variance. maxStartingSetpoint bounds it where
	// an idle server already takes longer.
	startingSetpoint, maxStartingSetpoint = 0.45, 0.75
	// unloadedFactor is how many times the time on an idle server the set point is at least: below it,
	// the limit would fall to its minimum without any queue at the servers.
	unloadedFactor = 1.5
	// modelShare is the fraction of the latency target in which servers are to read the prompts of the
	// initial starting limit.
	modelShare = 0.5
	// runningSetpoint is the fraction of the gap target that the longest gaps are to have.
	runningSetpoint = 1
	// firstEventMargin is the factor of the average time to the first event within which most first
	// events arrive.
	firstEventMargin = 2
	// minLatestStart is the fraction of the latency target within which a request may always be sent:
	// the average of few first events is inaccurate.
	minLatestStart = 0.25
	// averageWeight is the weight of a new value in the averages of durations.
	averageWeight = 0.1
	// minRunning is the least limit on running streams. A stream runs for seconds, so that a lower limit
	// would hold back requests of VMs with few of them, which don't load the servers.
	minRunning = 8
	// modelHold is how long after a decrease the model doesn't raise the limit: observed times are
	// more accurate than the figures of the configuration.
	modelHold = 10 * time.Second
)

// Limit is one of the limits.
type Limit string

// Values of Limit.
const (
	None     Limit = ""
	Starting Limit = "starting" // streams sent to servers that have not had their first event
	Running  Limit = "running"  // all streams at servers
)

// Capacity is what the configuration says about the servers of a service.
type Capacity struct {
	// PromptsPerSecond is the number of typical prompts that all servers can read in a second.
	PromptsPerSecond float64
	// Unloaded is the time to the first event of a typical prompt on idle servers.
	Unloaded time.Duration
	// Part is this VM's fraction of the demand, from 0 to 1.
	Part float64
}

// Stream is an attempt at a server, from Sent to Ended.
type Stream struct {
	sentAt, target, setpoint time.Duration
	begunAt                  time.Duration
	// judged says that the time to the first event was observed, and overdue that the target passed
	// without a first event.
	judged, overdue, begun, ended bool
}

// due is when the time to the first event exceeds the set point.
func (s *Stream) due() time.Duration { return s.sentAt + s.setpoint }

// Limiter holds the limits of one service on this VM. The zero value is ready to use and limits only
// as observed times require.
type Limiter struct {
	capacity Capacity
	// starts are the streams before their first event that are not overdue, in the order in which they
	// are due; the first judged of them are. overdue is the number of those that are overdue, all the
	// number of all streams.
	starts               []*Stream
	judged, overdue, all int

	starting, running gradient
	rejections        rejections
	// lowered is the limit that was last lowered, and decreases how often one was.
	lowered   Limit
	decreases int
	// firstEvent and duration are averages in seconds of the time to the first event and of the time
	// from it to the stream's end.
	firstEvent, duration float64
}

// SetModel sets what the configuration says about the servers. It raises the starting limit unless
// observed times lowered it lately.
func (l *Limiter) SetModel(capacity Capacity) { l.capacity = capacity }

// Admits reports whether a stream with this latency target may be sent now.
func (l *Limiter) Admits(now, target time.Duration) bool { return l.Binding(now, target) == None }

// Binding returns the limit that prevents a stream with this latency target from being sent now, or
// None.
func (l *Limiter) Binding(now, target time.Duration) Limit {
	l.judge(now)
	l.applyModel(now, target)
	switch {
	case !l.starting.admits(now, l.startsInUse()):
		return Starting
	case !l.running.admits(now, l.all):
		return Running
	default:
		return None
	}
}

// applyModel raises the starting limit to the prompts that the servers can read in half of the target.
func (l *Limiter) applyModel(now, target time.Duration) {
	if l.starting.loweredAt > 0 && now < l.starting.loweredAt+modelHold {
		return
	}
	share := l.capacity.PromptsPerSecond * l.capacity.Part * modelShare * target.Seconds()
	l.starting.limit = max(l.starting.limit, share, minLimit)
}

// startsInUse is the number of streams that count for the starting limit. Overdue ones don't while
// the others begin in time: their servers stall, and a few of them would use up a small limit.
func (l *Limiter) startsInUse() int {
	if l.starting.late {
		return len(l.starts) + l.overdue
	}
	return len(l.starts)
}

// Sent records that a stream is sent to its servers. A target of 0 means none: the stream counts as
// running only.
func (l *Limiter) Sent(now, target time.Duration) *Stream {
	l.judge(now)
	s := &Stream{sentAt: now, target: target, setpoint: l.setpoint(target)}
	l.all++
	if target > 0 {
		i, _ := slices.BinarySearchFunc(l.starts, s.due(), func(other *Stream, due time.Duration) int {
			if other.due() <= due {
				return -1
			}
			return 1
		})
		l.starts = slices.Insert(l.starts, i, s)
	}
	l.starting.use(now, l.startsInUse())
	l.running.use(now, l.all)
	l.rejections.begin(now)
	l.rejections.sent++
	return s
}

// setpoint is the time to the first event that the starting limit aims at.
func (l *Limiter) setpoint(target time.Duration) time.Duration {
	least, most := startingSetpoint*float64(target), maxStartingSetpoint*float64(target)
	return time.Duration(min(max(least, unloadedFactor*float64(l.capacity.Unloaded)), most))
}

// Begun records the first event of a stream.
func (l *Limiter) Begun(now time.Duration, s *Stream) {
	if s.begun || s.ended {
		return
	}
	l.judge(now)
	s.begun, s.begunAt = true, now
	if s.target == 0 {
		return
	}
	l.starting.completed++
	l.firstEvent = average(l.firstEvent, (now - s.sentAt).Seconds())
	l.removeStart(s)
	l.observeStart(now, s, now-s.sentAt)
}

// Ended records that a stream ended, with or without a first event.
func (l *Limiter) Ended(now time.Duration, s *Stream) {
	if s.ended {
		return
	}
	l.judge(now)
	s.ended = true
	l.all--
	if s.begun {
		l.duration = average(l.duration, (now - s.begunAt).Seconds())
		return
	}
	l.removeStart(s)
}

// removeStart removes a stream from those before their first event.
func (l *Limiter) removeStart(s *Stream) {
	if s.overdue { // and so not among starts
		l.overdue--
		return
	}
	if i := slices.Index(l.starts, s); i >= 0 {
		l.starts = slices.Delete(l.starts, i, i+1)
		if s.judged {
			l.judged--
		}
	}
}

// judge observes the streams that have had no first event by the set point, so that a limit falls
// before slow servers answer, and releases those that have had none by their target.
func (l *Limiter) judge(now time.Duration) {
	for l.judged < len(l.starts) && l.starts[l.judged].due() <= now {
		s := l.starts[l.judged]
		l.judged++
		l.observeStart(now, s, time.Duration(maxRatio*float64(s.setpoint)))
	}
	for l.judged > 0 && l.starts[0].sentAt+l.starts[0].target <= now {
		l.starts[0].overdue = true
		l.starts = slices.Delete(l.starts, 0, 1)
		l.judged--
		l.overdue++
	}
}

// observeStart observes the time to the first event of a stream once.
func (l *Limiter) observeStart(now time.Duration, s *Stream, firstEvent time.Duration) {
	if s.judged {
		return
	}
	s.judged = true
	if l.starting.observe(now, s.sentAt, firstEvent, s.setpoint) {
		l.lowered = Starting
		l.decreases++
	}
}

// ObserveGap observes the longest gap of a stream that is running since its last observation.
func (l *Limiter) ObserveGap(now time.Duration, s *Stream, gap, target time.Duration) {
	if target <= 0 || s.ended {
		return
	}
	before := l.running.limit
	if l.running.observe(now, now-gap, gap, time.Duration(runningSetpoint*float64(target))) {
		l.lowered = Running
		l.decreases++
		l.running.limit = max(l.running.limit, minRunning)
	}
	if before > 0 && l.rejections.cautious(now) {
		l.running.limit = min(l.running.limit, before)
		l.grow(now)
	}
}

// LatestStart returns how long after its arrival a request with this latency target may be sent to have
// its first event in time, by the average time to the first event.
func (l *Limiter) LatestStart(target time.Duration) time.Duration {
	return max(target-seconds(firstEventMargin*l.firstEvent), time.Duration(minLatestStart*float64(target)))
}

// Rate returns how many streams this VM could start in a second lately: by Little's law its limits
// divided by the time for which a stream uses them. It is 0 if unknown.
func (l *Limiter) Rate(now time.Duration) float64 {
	l.judge(now)
	rate := l.capacity.PromptsPerSecond * l.capacity.Part
	if l.firstEvent > 0 && l.starting.limit > 0 {
		rate = l.starting.limit / l.firstEvent
	}
	if l.running.limit > 0 && l.duration > 0 {
		rate = min(rate, l.running.limit/(l.firstEvent+l.duration))
	}
	return rate
}

// State is the limits and their use.
type State struct {
	// StartingLimit and RunningLimit are the limits; 0 means that there is none yet.
	StartingLimit, RunningLimit float64
	// Starting and Running are the streams that count for them.
	Starting, Running int
	// Lowered is the limit that was last lowered, Decreases how often one was, and FirstEvent the
	// average time to the first event.
	Lowered    Limit
	Decreases  int
	FirstEvent time.Duration
}

// State returns the limits and their use.
func (l *Limiter) State() State {
	return State{
		StartingLimit: l.starting.limit, RunningLimit: l.running.limit,
		Starting: l.startsInUse(), Running: l.all,
		Lowered: l.lowered, Decreases: l.decreases, FirstEvent: seconds(l.firstEvent),
	}
}

func average(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + averageWeight*(value-old)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
