package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// The figures of an attempt.
const (
	// suspectRefused keeps new requests off a server that couldn't be reached.
	suspectRefused = time.Second
	// suspectMoved keeps them off one that isn't what its entry says, until the next
	// word of it.
	suspectMoved = time.Second
	// silentRefusal is how long a refusal takes that is due to silence: a server
	// that is full refuses at once.
	silentRefusal = time.Second
	// suspectDark keeps them off one that fell silent, until the platform has
	// noticed: three missed signs of life and the time that a list takes.
	suspectDark = 4 * time.Second
)

// fate is what became of an attempt.
type fate int

const (
	// answered: the head of a valid answer is there.
	answered fate = iota
	// notStarted: the server did not run the request.
	notStarted
	// uncertain: the server may have run it.
	uncertain
	// unsent: nothing reached the server, which wanted no more requests when it was to be sent.
	unsent
)

// opened is an attempt whose answer's head has come.
type opened struct {
	response *http.Response
	choice   backends.Choice
	load     backends.Load
	// sent is the choice as it was when the request was sent; a move changes choice.
	sent backends.Choice
	// begun is when the request was sent, by bootclock.
	begun  time.Duration
	cancel context.CancelCauseFunc
	ctx    context.Context
	// watch may move the attempt to another choice until it is stopped. Nil for none.
	watch *watchdog
}

// progress says that the attempt brought events.
func (o *opened) progress() {
	if o.watch != nil {
		o.watch.progress()
	}
}

// settle ends the watch, so that choice and load stay as they are.
func (o *opened) settle() {
	if o.watch != nil {
		o.watch.stop()
	}
}

func (o *opened) close(d *Dispatcher) {
	o.cancel(nil)
	if o.response != nil {
		_ = o.response.Body.Close() // the connection isn't used again unless the body was read
	}
	d.done(o.load)
}

// send makes the attempt and reads the head of its answer.
func (h *Handler) send(x *exchange, o *opened) fate {
	ctx, sent := wire.WatchSentWhile(o.ctx, func() bool { return h.Dispatcher.wanted(o.sent) })
	request := h.outgoing(ctx, x, o.sent)
	transport := h.pooled
	if x.route.Repeat == routes.Once {
		transport = h.fresh
	}
	h.countLimited(x, o)
	x.sends++
	begun := time.Now()
	o.begun = bootclock.Now()
	response, err := transport.RoundTrip(request)
	if sent.Withheld() {
		o.settle()
		return h.withheld(x, o)
	}
	if err != nil {
		o.settle()
		return h.unanswered(x, o, sent.Any(), err)
	}
	o.response = response
	answer := h.Wire.Answer(response)
	h.signals.Take(said(x, o, answer))
	h.Dispatcher.took(o, answer)
	if answer.NotRun {
		o.settle()
		return h.notTaken(x, o, answer, time.Since(begun))
	}
	if problem := check(x, response, answer); problem != "" {
		o.settle()
		telemetry.RelayAttemptFailed.Log(h.Log, append(x.fields(), "server", o.choice.First.ID, "cause", problem)...)
		x.failed(o.choice)
		return uncertain
	}
	return answered
}

// withheld gives an attempt up that its server didn't want any more when it was to be sent.
func (h *Handler) withheld(x *exchange, o *opened) fate {
	x.sends--
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_withheld_total{kind=%q}", x.attemptKind())).Inc()
	telemetry.RelayWithheld.Log(h.Log, append(x.fields(), "server", o.sent.First.ID)...)
	if x.refusals++; x.refusals >= refusalsBound {
		return notStarted
	}
	return unsent
}

// unanswered judges an attempt that got no answer.
func (h *Handler) unanswered(x *exchange, o *opened, sent bool, err error) fate {
	if x.ctx.Err() != nil {
		if sent {
			x.mayHaveRun = true
			return uncertain
		}
		return notStarted
	}
	telemetry.RelayAttemptFailed.Log(h.Log, append(x.fields(), "server", o.choice.First.ID, "sent", sent, "cause", err.Error())...)
	if !sent {
		h.Dispatcher.suspect(o.choice.First.ID, suspectRefused)
		if refusedConnection(err) {
			h.suspects.closed(o.choice.First)
		}
		x.avoid = append(x.avoid, o.choice.First.ID)
		x.refusals++
		return notStarted
	}
	h.brokeOff(x, o, err)
	x.failed(o.choice)
	return uncertain
}

// notTaken judges an attempt that the servers say not to have run.
func (h *Handler) notTaken(x *exchange, o *opened, answer Answer, took time.Duration) fate {
	x.refusals++
	blamed, ok := o.choice.At(answer.Blame)
	if !ok {
		blamed = o.choice.First.ID
	}
	switch {
	case o.response.StatusCode == http.StatusMisdirectedRequest:
		// Another process is there, or one that gave up the layers.
		h.Dispatcher.suspect(blamed, suspectMoved)
		x.avoid = append(x.avoid, blamed)
	case took >= silentRefusal:
		// A request may also have waited for its turn that long, before the server that
		// is blamed gave up the layers. So it isn't proof that the server is lost.
		h.Dispatcher.lost(blamed, false)
		x.avoid = append(x.avoid, blamed)
	case answer.Signals.Pause > 0:
		// It has said itself for how long, and may take the request after that.
	case len(o.choice.Path) == 0:
		h.Dispatcher.full(blamed)
		x.avoid = append(x.avoid, blamed)
	default:
		// It may have room again while the request waits, and no other may hold its layers.
		h.Dispatcher.full(blamed)
	}
	telemetry.RelayAttemptRefused.Log(h.Log, append(x.fields(), "server", o.choice.First.ID, "blamed", blamed,
		"status", o.response.StatusCode, "pauseMs", max(answer.Signals.Pause, 0).Milliseconds(), "path", o.choice.Path.String())...)
	return notStarted
}

// failed notes that a server may have run the request and did not answer well.
func (x *exchange) failed(choice backends.Choice) {
	x.mayHaveRun = true
	x.avoid = append(x.avoid, choice.First.ID)
	if !slices.Contains(x.ran, choice.First.ID) && !slices.Contains(x.ended, choice.First.ID) {
		x.ran = append(x.ran, choice.First.ID)
	}
}

// check returns what is wrong with the head of an answer, or nothing.
func check(x *exchange, response *http.Response, answer Answer) string {
	switch {
	case answer.ID != x.call.ID:
		return "answer to another request"
	case response.Header.Get("Content-Encoding") != "":
		return "body is encoded"
	case !answer.Signed:
		return "answer is not signed"
	default:
		return ""
	}
}

// outgoing is the request as the backend server gets it.
func (h *Handler) outgoing(ctx context.Context, x *exchange, choice backends.Choice) *http.Request {
	target := *x.r.URL
	target.Scheme, target.Host, target.User = "http", choice.First.Address, nil
	header := x.r.Header.Clone()
	dropHopHeaders(header)
	if header.Get("User-Agent") == "" {
		// Otherwise net/http would add its own.
		header.Set("User-Agent", "")
	}
	attempt := Attempt{
		Server: choice.First.Name, Account: x.account.Name, Path: choice.Path,
		Priority: x.priority(), After: x.call.After,
	}
	if x.after != "" {
		attempt.After = x.after
	}
	if x.call.Wait > 0 {
		attempt.Left = x.left()
	}
	h.Wire.Write(header, attempt)
	request := &http.Request{
		Method: x.r.Method, URL: &target, Host: x.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(x.body)), Body: http.NoBody,
	}
	if len(x.body) > 0 {
		request.Body = io.NopCloser(wire.OnceBody(bytes.NewReader(x.body)))
	}
	return request.WithContext(ctx)
}

func (x *exchange) priority() int {
	if x.account.Ranked {
		return x.account.Priority
	}
	return x.route.Priority
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func dropHopHeaders(header http.Header) {
	for _, named := range header.Values("Connection") {
		for _, name := range splitList(named) {
			header.Del(name)
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
