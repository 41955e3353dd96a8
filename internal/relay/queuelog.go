package relay

import (
	"context"
	"time"

	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// queueLogInterval is the minimum interval between two log lines of a kind on a queue.
	queueLogInterval = time.Second
	// maxQueueChanges is how many log lines on queues may be pending.
	maxQueueChanges = 64
)

// queueLog decides when a log line is due that requests of a service wait, or that none waits any more.
// Each line on a beginning is followed by one on the end.
type queueLog struct {
	// began is set from the log line on the beginning to that on the end; beganAt and endedAt are when
	// they were due.
	began            bool
	beganAt, endedAt time.Duration
	// most is the highest number of requests that waited at once since the beginning.
	most int
}

// queueChange is a log line that is due.
type queueChange struct {
	service, cause string
	ended          bool
	// waiting and oldest are the number of requests and the longest wait at the beginning; most and span
	// the highest number, and the time until the end.
	waiting, most int
	oldest, span  time.Duration
}

// observe records how many requests wait, and reports whether a log line is due. A beginning is due only
// if the last end was long enough ago, so that ends keep the interval, too.
func (l *queueLog) observe(now time.Duration, waiting int) bool {
	switch {
	case l.began && waiting > 0:
		l.most = max(l.most, waiting)
		return false
	case l.began:
		l.began, l.endedAt = false, now
		return true
	case waiting > 0 && (l.endedAt == 0 || now >= l.endedAt+queueLogInterval):
		l.began, l.beganAt, l.most = true, now, waiting
		return true
	default:
		return false
	}
}

// reportQueue passes on the log line that is due on a queue, if any. It must be called with the lock held.
func (d *Dispatcher) reportQueue(now time.Duration, q *admissionQueue) {
	if !q.log.observe(now, len(q.waiting)) {
		return
	}
	change := queueChange{service: q.service, cause: telemetry.Cause(q.err), ended: !q.log.began, most: q.log.most}
	if change.ended {
		change.span = now - q.log.beganAt
	} else {
		change.waiting = len(q.waiting)
		for _, w := range q.waiting {
			change.oldest = max(change.oldest, now-w.start)
		}
	}
	select {
	case d.queueChanges <- change:
	default:
	}
}

// RunQueueLog logs that requests of a service begin to wait, and that none waits any more, until ctx ends.
func (h *Handler) RunQueueLog(ctx context.Context) error {
	for {
		select {
		case c := <-h.Dispatcher.queueChanges:
			if c.ended {
				telemetry.QueueEnded.Log(h.Log, "service", c.service, "cause", c.cause, "ms", c.span.Milliseconds(), "most", c.most)
			} else {
				telemetry.QueueBegun.Log(h.Log, "service", c.service, "cause", c.cause, "waiting", c.waiting, "oldestMs", c.oldest.Milliseconds())
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
