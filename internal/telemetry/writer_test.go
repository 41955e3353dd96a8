package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// gatedWriter blocks writes until its gate is open.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *gatedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

func reportDropped(to io.Writer, lines int64) { _, _ = fmt.Fprintf(to, "dropped %d\n", lines) }

// Guards against lines that are lost without a trace while nobody reads the log.
func TestDroppedLogLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	out := &gatedWriter{gate: make(chan struct{})}
	w := telemetry.NewLogWriter(out, reportDropped)
	const lines = 10_000
	for i := range lines {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	close(out.gate)
	w.Close(5 * time.Second)
	written, dropped := 0, 0
	for _, line := range bytes.Split([]byte(out.String()), []byte("\n")) {
		var n int
		switch {
		case bytes.HasPrefix(line, []byte("line ")):
			written++
		case bytes.HasPrefix(line, []byte("dropped ")):
			_, err := fmt.Sscanf(string(line), "dropped %d", &n)
			g.Expect(err).NotTo(HaveOccurred())
			dropped += n
		}
	}
	g.Expect(dropped).To(BeNumerically(">", 0))
	g.Expect(written + dropped).To(Equal(lines))
}

// Guards against lines that a process logs last and doesn't write before it ends.
func TestLogLinesAreWrittenBeforeTheEnd(t *testing.T) {
	g := NewWithT(t)
	out := &gatedWriter{gate: make(chan struct{})}
	close(out.gate)
	w := telemetry.NewLogWriter(out, reportDropped)
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close(5 * time.Second)
	g.Expect(out.String()).To(HaveSuffix("line 98\nline 99\n"))
}
