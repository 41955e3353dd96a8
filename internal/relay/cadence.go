package relay

import "time"

// The figures of a cadence: the gains of its two means, and by how many deviations an event
// must be overdue. They are those by which TCP finds that a segment is lost (RFC 6298).
const (
	cadenceGain      = 0.125
	deviationGain    = 0.25
	overdueBy        = 4
	eventsForCadence = 4
)

// cadence is how regularly a stream's events come.
type cadence struct {
	mean, deviation float64
	events          int
}

// note takes the time between two events.
func (c *cadence) note(gap time.Duration) {
	seconds := gap.Seconds()
	if c.events++; c.events == 1 {
		c.mean, c.deviation = seconds, seconds/2
		return
	}
	off := seconds - c.mean
	if off < 0 {
		off = -off
	}
	c.deviation += deviationGain * (off - c.deviation)
	c.mean += cadenceGain * (seconds - c.mean)
}

// overdue is the silence after which the next event is overdue. False while too few events
// came to tell.
func (c *cadence) overdue() (time.Duration, bool) {
	return time.Duration((c.mean + overdueBy*c.deviation) * float64(time.Second)), c.events >= eventsForCadence
}
