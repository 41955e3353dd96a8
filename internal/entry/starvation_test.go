package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	gomegatypes "github.com/onsi/gomega/types"

	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/schedclock"
	"oleandershunt.example/oleandershunt/internal/standin"
)

// When the VM is short of processor time, it reads its sockets late, and
// frames and probe responses stay unread for longer than the timeouts. That
// must neither end streams nor have healthy servers avoided. The test delays
// the engine, which looks the same, while the VM's clock gets no heartbeat.
func TestStarvedVMNeitherEndsStreamNorAvoidsServer(t *testing.T) {
	const (
		timeout = 50 * time.Millisecond
		tokens  = 200
	)
	for stage, place := range []string{"first", "middle", "last"} {
		for name, ending := range map[string]struct {
			do       func(*schedclock.Clock, *standin.Engine)
			attempts gomegatypes.GomegaMatcher
		}{
			"a late response is complete": {func(_ *schedclock.Clock, e *standin.Engine) { e.Recover() }, Equal(1)},
			"a stalled engine is detected when the VM keeps up": {func(c *schedclock.Clock, _ *standin.Engine) {
				go func() { _ = c.Run(t.Context()) }()
			}, BeNumerically(">=", 2)},
		} {
			t.Run(place+" stage, "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				clock := schedclock.New()
				clock.Heartbeat()
				r := newRig(t, func(o *rigOptions) {
					o.clock = clock
					o.limits.TokenSilence, o.limits.SilenceFloor, o.limits.ProbeTime = timeout, timeout, timeout
				}).inForce(t)
				response, err := r.openStream(t.Context(), "scoring", "starved", tokens)
				g.Expect(err).NotTo(HaveOccurred())
				defer response.Body.Close()
				var late *standin.Engine
				r.injectServing(t, stage, func(e *standin.Engine) { late = e; e.Stall() })
				g.Consistently(r.started, 10*timeout).Should(Equal(1))
				ending.do(clock, late)
				got, err := readEvents(response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got.error).To(BeNil())
				g.Expect(got.text).To(Equal(r.model.Text("starved", tokens)))
				g.Expect(r.started()).To(ending.attempts)
			})
		}
	}
}

// A server short of processor time serves its streams but doesn't answer
// probes. It must not be avoided while its tokens arrive on other streams, or
// servers would be avoided one after the other until streams end with no_path.
func TestServerActiveOnOtherStreamsIsNotAvoided(t *testing.T) {
	g := NewWithT(t)
	late := make(chan struct{})
	var attempts atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCancel, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET "+engine.PathCapabilities, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	mux.HandleFunc("POST "+engine.PathAttempts, func(w http.ResponseWriter, r *http.Request) {
		var attempt engine.AttemptRequest
		if json.NewDecoder(r.Body).Decode(&attempt) != nil {
			return
		}
		control := http.NewResponseController(w)
		for index := range attempt.MaxTokens + 1 {
			if attempt.Prompt == "late" && index == 1 {
				attempts.Add(1)
				<-late
			}
			_, err := w.Write(frameLine(attempt, index))
			if err != nil || control.Flush() != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	r := newRig(t, func(o *rigOptions) {
		o.engineAddress = server.Listener.Addr().String()
		o.copies = 1
		o.limits.TokenSilence, o.limits.SilenceFloor, o.limits.ProbeTime = time.Minute, 50*time.Millisecond, 500*time.Millisecond
	}).inForce(t)
	// The stall timeout is learned from complete responses.
	for range 4 {
		g.Expect(r.stream(t, "scoring", "in time", 100).last).To(Equal("[DONE]"))
	}
	ctx, leave := context.WithCancel(t.Context())
	activeStream, err := r.openStream(ctx, "scoring", "in time", 1<<20)
	g.Expect(err).NotTo(HaveOccurred())
	defer activeStream.Body.Close()
	go func() { _, _ = io.Copy(io.Discard, activeStream.Body) }()
	ended := make(chan events, 1)
	go func() { ended <- r.stream(t, "scoring", "late", 10) }()
	g.Consistently(ended, "2s").ShouldNot(Receive())
	close(late)
	var got events
	g.Eventually(ended, "10s").Should(Receive(&got))
	g.Expect(got.error).To(BeNil())
	g.Expect(got.last).To(Equal("[DONE]"))
	g.Expect(attempts.Load()).To(BeEquivalentTo(1))
	leave()
}
