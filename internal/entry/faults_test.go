package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/standin"
)

// stageFaults are the faults to inject into a stage in the middle of a stream.
// firstOnly marks those that only a first stage can have, since only it
// numbers the tokens.
var stageFaults = map[string]struct {
	firstOnly bool
	inject    func(*standin.Engine)
}{
	"killed":            {false, (*standin.Engine).Kill},
	"stalled":           {false, (*standin.Engine).Stall},
	"steps stalled":     {false, with(standin.Faults{StallSteps: true})},
	"wrong layers":      {false, with(standin.Faults{Lie: standin.LieLayers})},
	"wrong version":     {false, with(standin.Faults{Lie: standin.LieVersion})},
	"wrong attempt":     {false, with(standin.Faults{Lie: standin.LieAttempt})},
	"wrong incarnation": {false, with(standin.Faults{Lie: standin.LieIncarnation})},
	"garbage":           {false, with(standin.Faults{Damage: standin.DamageGarbage})},
	"swallowing":        {false, with(standin.Faults{Damage: standin.DamageSwallow})},
	"skipped token":     {true, with(standin.Faults{Lie: standin.LieSkip})},
	"repeated token":    {true, with(standin.Faults{Lie: standin.LieRepeat})},
	"half a frame":      {true, with(standin.Faults{Damage: standin.DamageHalfFrame})},
	"cut":               {true, with(standin.Faults{Damage: standin.DamageCut})},
	"ended early":       {true, with(standin.Faults{Damage: standin.DamageEnd})},
	"former attempt":    {true, with(standin.Faults{Lie: standin.LieFormerAttempt})},
	"other stream":      {true, with(standin.Faults{Lie: standin.LieOtherStream})},
}

func with(f standin.Faults) func(*standin.Engine) {
	return func(e *standin.Engine) { e.SetFaults(f) }
}

// A stage fails or sends false receipts in the middle of a stream, and the
// router starts another attempt on another path. No token may be lost,
// repeated or computed by the wrong layers, as would happen by resuming at the
// wrong token or on a wrong KV cache, or by avoiding the wrong stage.
func TestStreamSurvivesStageFault(t *testing.T) {
	const tokens = 300
	for stage, place := range []string{"first", "middle", "last"} {
		for name, fault := range stageFaults {
			if fault.firstOnly && stage > 0 {
				continue
			}
			t.Run(place+" stage "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				r := newRig(t, nil).inForce(t)
				prompt := "unbroken though the " + place + " stage is " + name
				response, err := r.openStream(t.Context(), "scoring", prompt, tokens)
				g.Expect(err).NotTo(HaveOccurred())
				defer response.Body.Close()
				r.injectServing(t, stage, fault.inject)
				got, err := readEvents(response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got.error).To(BeNil())
				g.Expect(got.last).To(Equal("[DONE]"))
				g.Expect(got.text).To(Equal(r.model.Text(prompt, tokens)))
			})
		}
	}
}

// injectServing injects a fault into the engine that serves a stage of the
// only stream, once tokens flow.
func (r *rig) injectServing(t testing.TB, stage int, inject func(*standin.Engine)) {
	g := NewWithT(t)
	g.Eventually(func() int {
		return r.sum(func(c standin.EngineCounts) int { return c.TokensMade })
	}).Should(BeNumerically(">", 2))
	for i, e := range r.engines {
		if i*stages/len(r.engines) == stage && e.Counts().Running > 0 {
			inject(e)
			return
		}
	}
	t.Fatal("no engine serves the stage")
}

// When the caller closes its connection in the middle of a stream, the engines
// must be told, or the stream would keep its slot in their batches.
func TestDisconnectedCallerIsCancelledAtEngines(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil).inForce(t)
	ctx, leave := context.WithCancel(t.Context())
	response, err := r.openStream(ctx, "scoring", "left alone", 100000)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.Body.Read(make([]byte, 1))).To(Equal(1))
	leave()
	g.Eventually(func() int { return r.sum(running) }).Should(BeZero())
	g.Eventually(func() int { return r.sum(cancelled) }).Should(Equal(1))
	g.Expect(r.started()).To(Equal(1))
}

// The caller stops reading but keeps its connection open, until the buffers on
// the way are full. The write deadline must end the stream, or it would keep
// its slot in the engines' batches.
func TestCallerThatStopsReadingIsCancelledAtEngines(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, func(o *rigOptions) {
		o.limits.WriteTime = 200 * time.Millisecond
		o.step = 0
	}).inForce(t)
	conn, err := net.Dial("tcp", r.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	body := `{"model":"scoring","prompt":"unread","max_tokens":1000000,"stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", aliceKey, len(body), body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int { return r.started() }).Should(Equal(1))
	g.Eventually(func() int { return r.sum(running) }, "30s").Should(BeZero())
	g.Expect(r.sum(func(c standin.EngineCounts) int { return c.Started })).To(Equal(1), "not retried")
}

// A caller reads slowly, so the router doesn't read from the engine for longer
// than the stall timeout. The caller's time must not count as the engine's
// stall, or its streams would be moved again and again.
func TestSlowCallerIsNotTakenForStalledEngine(t *testing.T) {
	g := NewWithT(t)
	// A busy machine pauses a healthy engine for tens of milliseconds. The
	// caller reads nothing for several times the timeout.
	const timeout = 500 * time.Millisecond
	r := newRig(t, func(o *rigOptions) {
		o.step = 0
		o.limits.TokenSilence = timeout
		o.limits.SilenceFloor = timeout
	}).inForce(t)
	const tokens = 40000
	response, err := r.openStream(t.Context(), "scoring", "read late", tokens)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	// An unread stream stops when the buffers are full.
	made := 0
	g.Eventually(func() bool {
		before := made
		made = r.sum(func(c standin.EngineCounts) int { return c.TokensMade })
		return made > 0 && made == before
	}, "60s", (8 * timeout).String()).Should(BeTrue())
	got, err := readEvents(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.text).To(Equal(r.model.Text("read late", tokens)))
	g.Expect(r.started()).To(Equal(1))
}

// Engines send late frames of cancelled attempts and frames of other streams.
// Frames must be matched by request and attempt, not only by connection, or a
// caller would get another caller's tokens.
func TestForeignFramesAreNotDelivered(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil).inForce(t)
	for i, e := range r.engines {
		lie := standin.LieOtherStream
		if i%2 == 0 {
			lie = standin.LieFormerAttempt
		}
		e.SetFaults(standin.Faults{Lie: lie})
	}
	texts := make(chan string, 2)
	for _, prompt := range []string{"one", "two"} {
		go func() { texts <- r.stream(t, "scoring", prompt, 100).text }()
	}
	g.Expect([]string{<-texts, <-texts}).To(ConsistOf(r.model.Text("one", 100), r.model.Text("two", 100)))
}

// A caller's timeout that is shorter than the response takes must end the
// request and free its slot at the engines.
func TestDeadlineEndsRequest(t *testing.T) {
	r := newRig(t, func(o *rigOptions) { o.step = 20 * time.Millisecond }).inForce(t)
	for _, header := range []string{"Request-Timeout", "body"} {
		t.Run(header, func(t *testing.T) {
			g := NewWithT(t)
			before := r.started()
			body := `{"model":"scoring","prompt":"late","max_tokens":100000}`
			headers := []string{header, "0.3"}
			if header == "body" {
				body, headers = `{"model":"scoring","prompt":"late","max_tokens":100000,"timeout":0.3}`, nil
			}
			got := r.send(t, http.MethodPost, "/v1/completions", body, headers...)
			problem := got.problem(t)
			g.Expect(problem.Reason).To(Equal("deadline_passed"))
			g.Expect(string(problem.Execution)).To(Equal("ran"))
			g.Expect(r.started()).To(Equal(before + 1))
			g.Eventually(func() int { return r.sum(running) }).Should(BeZero())
		})
	}
}

// The deadline passes after bytes have been sent. The stream must end with an
// error event, so that a truncated stream doesn't look complete.
func TestErrorAfterFirstByteIsLastEvent(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, func(o *rigOptions) { o.step = 5 * time.Millisecond }).inForce(t)
	body := `{"model":"scoring","prompt":"late","max_tokens":100000,"stream":true,"timeout":0.3}`
	got := r.send(t, http.MethodPost, "/v1/completions", body)
	g.Expect(got.status).To(Equal(http.StatusOK))
	read, err := readEvents(stringReader(got.body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.text).NotTo(BeEmpty())
	g.Expect(read.error).NotTo(BeNil())
	g.Expect(read.error.Reason).To(Equal("deadline_passed"))
	g.Expect(string(read.error.Execution)).To(Equal("ran"))
}

// When a planned stop begins, the health check must fail while requests are
// still served: if it failed only when the sockets are closed, the load
// balancer would send callers to a stopping VM.
func TestHealthCheckFailsBeforeRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil)
	g.Expect(r.send(t, http.MethodGet, "/healthz", "").status).To(Equal(http.StatusServiceUnavailable))
	r.inForce(t)
	g.Expect(r.send(t, http.MethodGet, "/healthz", "").status).To(Equal(http.StatusOK))
	r.server.BeginStop()
	g.Expect(r.send(t, http.MethodGet, "/healthz", "").status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.complete(t, "scoring", "still", 3).status).To(Equal(http.StatusOK))
}
