package telemetry

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// MeasuredWriter returns a writer that measures how long writes of log lines take. A reader of standard
// output that falls behind makes every goroutine wait that logs.
func MeasuredWriter(to io.Writer) io.Writer {
	return measuredWriter{to: to, seconds: metrics.GetOrCreateHistogram("oleandershunt_log_write_seconds")}
}

type measuredWriter struct {
	to      io.Writer
	seconds *metrics.Histogram
}

// Write implements io.Writer.
func (w measuredWriter) Write(line []byte) (int, error) {
	defer w.seconds.UpdateDuration(time.Now())
	return w.to.Write(line)
}
