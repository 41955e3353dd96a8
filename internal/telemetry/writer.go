package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines bounds the lines that wait to be written, some 500 bytes each.
const maxQueuedLines = 4096

// LogWriter writes log lines in a goroutine of its own, so that a reader of the output that falls behind
// holds up nobody who logs. Lines that find the queue full are dropped and counted.
type LogWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// report writes a line that says how many lines were dropped.
	report func(to io.Writer, lines int64)
	close  sync.Once
	// closing is closed when no further lines come, written once all lines are written.
	closing, written chan struct{}

	seconds *metrics.Histogram
	drops   *metrics.Counter
}

// NewLogWriter returns a writer that must be closed. report is called from the writer's goroutine after
// lines were dropped.
func NewLogWriter(to io.Writer, report func(to io.Writer, lines int64)) *LogWriter {
	w := &LogWriter{
		to: to, report: report, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), written: make(chan struct{}),
		seconds: metrics.GetOrCreateHistogram("oleandershunt_log_write_seconds"),
		drops:   metrics.GetOrCreateCounter("oleandershunt_log_lines_dropped_total"),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.drops.Inc()
	}
	return len(line), nil
}

// Close waits until the lines so far are written, for a time at most.
func (w *LogWriter) Close(within time.Duration) {
	w.close.Do(func() { close(w.closing) })
	select {
	case <-w.written:
	case <-time.After(within):
	}
}

func (w *LogWriter) run() {
	defer close(w.written)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

// drain writes the lines that are queued.
func (w *LogWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line, and reports those that were dropped meanwhile. A line that can't be written has
// nowhere to go.
func (w *LogWriter) write(line []byte) {
	start := time.Now()
	_, _ = w.to.Write(line)
	w.seconds.UpdateDuration(start)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		w.report(w.to, dropped)
	}
}
