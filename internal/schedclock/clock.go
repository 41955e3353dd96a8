// Package schedclock is a clock that advances only while this process gets enough CPU
// time to read its sockets.
//
// A VM that is starved of CPU time reads its sockets late. By the wall clock, every
// backend server then appears unresponsive, healthy ones are suspected, and streams are
// moved or cut, which adds load to the starved VM. The signs are that
// oleandershunt_silences_total and refusals for no_path rise on a single VM whose CPUs
// are saturated. A Clock prevents this: it advances like the wall clock while the
// process keeps up with its sockets, and more slowly when it falls behind.
package schedclock

import (
	"context"
	"math"
	"os"
	"sync/atomic"
	"time"
)

// HeartbeatInterval is the time from the end of one heartbeat to the start of the next.
const HeartbeatInterval = 20 * time.Millisecond

const (
	// maxAdvance is the most that the clock advances between two heartbeats. Receiving
	// a response from a backend server takes several wake-ups of this process, each as
	// late as a heartbeat, so the margin above HeartbeatInterval is kept small.
	maxAdvance = 25 * time.Millisecond
	// requiredHeartbeats is how many heartbeats prove that all data that had arrived
	// before has been read. The first may have been in flight already.
	requiredHeartbeats = 2
)

// Clock measures the time during which this process kept up with its sockets. Its
// methods are safe for concurrent use. A nil Clock behaves like the wall clock.
type Clock struct {
	start time.Time
	last  atomic.Pointer[snapshot]
}

// snapshot is the state of a clock at a heartbeat.
type snapshot struct {
	// wall is the wall time since the start of the clock, and clock is its own time.
	wall, clock time.Duration
	// heartbeats is the number of heartbeats so far.
	heartbeats uint64
	// bounded is set while heartbeats are expected: without the next one, the clock
	// stops after maxAdvance.
	bounded bool
}

// New returns a clock that behaves like the wall clock until the first heartbeat.
func New() *Clock {
	c := &Clock{start: time.Now()}
	c.last.Store(&snapshot{})
	return c
}

// processStart is the start of a nil Clock.
var processStart = time.Now()

// Now returns the time that the clock has measured since its start.
func (c *Clock) Now() time.Duration {
	if c == nil {
		return time.Since(processStart)
	}
	return c.last.Load().now(time.Since(c.start))
}

func (s *snapshot) now(wall time.Duration) time.Duration {
	elapsed := max(wall-s.wall, 0)
	if s.bounded {
		elapsed = min(elapsed, maxAdvance)
	}
	return s.clock + elapsed
}

// Heartbeat records a heartbeat: the process has just kept up with its sockets. From the
// first heartbeat on, the clock stops when no other follows.
func (c *Clock) Heartbeat() { c.set(true) }

func (c *Clock) set(bounded bool) {
	wall := time.Since(c.start)
	last := c.last.Load()
	c.last.Store(&snapshot{wall: wall, clock: last.now(wall), heartbeats: last.heartbeats + 1, bounded: bounded})
}

// Heartbeats returns the number of heartbeats so far.
func (c *Clock) Heartbeats() uint64 {
	if c == nil {
		return 0
	}
	return c.last.Load().heartbeats
}

// CaughtUpSince reports whether the process has read its sockets since Heartbeats returned
// the given number of heartbeats.
func (c *Clock) CaughtUpSince(heartbeats uint64) bool {
	if c == nil {
		return true
	}
	last := c.last.Load()
	return !last.bounded || last.heartbeats >= heartbeats+requiredHeartbeats
}

// Run sends heartbeats until ctx is done. A heartbeat is a byte that is sent through a
// pipe and read like data from a socket, so it is delayed as much as that data. Run
// returns ctx.Err(), or the error of the pipe.
func (c *Clock) Run(ctx context.Context) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer writer.Close()
	defer c.set(false)
	// The buffer takes the byte that may be in flight when Run returns.
	received := make(chan struct{}, 1)
	go c.receiveBytes(reader, received)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if _, err := writer.Write([]byte{0}); err != nil {
				return err
			}
		case <-received:
			c.Heartbeat()
			timer.Reset(HeartbeatInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiveBytes signals each byte that it reads, until the writer is closed.
func (c *Clock) receiveBytes(reader *os.File, received chan<- struct{}) {
	defer reader.Close()
	buffer := make([]byte, 1)
	for {
		if _, err := reader.Read(buffer); err != nil {
			return
		}
		received <- struct{}{}
	}
}

// WithTimeout is like context.WithTimeout but measures the limit by this clock. The
// context has no deadline; after the limit its cause is context.DeadlineExceeded.
func (c *Clock) WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	end := c.Now() + limit
	var timer *time.Timer
	timer = time.AfterFunc(math.MaxInt64, func() {
		remaining := end - c.Now()
		switch {
		case ctx.Err() != nil:
		case remaining <= 0:
			cancel(context.DeadlineExceeded)
		default:
			timer.Reset(max(remaining, time.Millisecond))
		}
	})
	timer.Reset(limit)
	return ctx, func() {
		cancel(context.Canceled)
		timer.Stop()
	}
}
