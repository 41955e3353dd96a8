package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// The figures of the handler.
const (
	// connectTimeout bounds a connect to a backend server. The way there takes a
	// millisecond; one that is cut off or without power doesn't answer at all.
	connectTimeout = 400 * time.Millisecond
	// idlePerServer is the connections kept to each server.
	idlePerServer = 8
	// bodiesAtOnce bounds the bytes of bodies held, so that large ones sent
	// together don't take the VM's memory.
	bodiesAtOnce = 64 << 20
	// defaultBody bounds a body where the configuration says nothing.
	defaultBody = 4 << 20
	// comeBack is when a request that found no server may try again: the time in
	// which a lost server's layers are usually found elsewhere.
	comeBack = 500 * time.Millisecond
	// comeBackUnproven is the same where the configuration isn't proven new: the
	// time between two reads of it.
	comeBackUnproven = time.Second
	// firstConfig is how long a request waits for the first configuration of a VM that has
	// just started, and firstConfigPart bounds that by the time that its caller has. VMs
	// that all start at once have it within half of that.
	firstConfig     = 500 * time.Millisecond
	firstConfigPart = 0.5
)

// Options are what a handler needs.
type Options struct {
	Log        logr.Logger
	Wire       Wire
	Engines    Engines
	Dispatcher *Dispatcher
	// Proven tells whether the configuration in force was the newest recently
	// enough to trust its keys.
	Proven func() bool
	// DataCentre is where the VM stands.
	DataCentre string
	// Found, when set, is told of a server that another one waits for in vain.
	Found func(id string)
	// Patience bounds the silence of a stream after which its path is looked into.
	Patience time.Duration
}

// Handler serves callers.
type Handler struct {
	Options
	pooled, fresh http.RoundTripper
	bodies        atomic.Int64
	inFlight      atomic.Int64
	watches       watches
	reports       *reports
	suspects      *suspects
	// lateLines bounds the lines on late answers.
	lateLines *rate.Limiter
	signals   *Signals
}

// New makes a handler.
func New(options Options) *Handler {
	pooled, fresh := wire.Transports(connectTimeout, nil, idlePerServer)
	return &Handler{
		Options:   options,
		pooled:    pooled,
		fresh:     fresh,
		reports:   newReports(options.Engines),
		suspects:  newSuspects(),
		watches:   watches{all: make(map[*watchdog]struct{})},
		lateLines: rate.NewLimiter(latePerSecond, lateBurst),
		signals:   NewSignals(options.Log, options.Dispatcher),
	}
}

// InFlight is the number of requests that are being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// exchange is one request on its way.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	call    Call
	route   routes.Route
	service routes.Service
	account routes.Account
	body    []byte
	// poison names what the request asks, to recognise one that crashes servers.
	poison poison.Body
	start  time.Time
	// avoid lists the servers that failed the request.
	avoid []string
	// ran lists the servers that ran it or may have, but for those in ended: servers that broke
	// it off while they left.
	ran, ended []string
	// only, when set, lists the servers that the next attempt may take.
	only []string
	// sends counts the attempts that reached a server, and refusals those that it
	// said not to have run.
	sends, refusals int
	// reserved says that the next attempt's repeat was taken from the budget already.
	reserved bool
	// mayHaveRun says that a server may have begun.
	mayHaveRun bool
	// detail says why no server was found, for the line of the refusal.
	detail string
	// deferred is why no server was found where those that could take the request want none
	// of this VM yet; empty for other causes. due is in what time one may take it, 0 where
	// that isn't known.
	deferred Reason
	due      time.Duration
	timing   timing
	// events counts the events delivered; after is the ID of the last one.
	events int
	after  string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{w: w, r: r, start: time.Now(), call: h.Wire.Read(r)}
	refused := h.admit(x)
	if refused == nil {
		refused = h.read(x)
	}
	if refused != nil {
		h.refuse(x, refused)
		return
	}
	defer h.bodies.Add(-int64(len(x.body)))
	if x.poison = bodyOf(x); !h.suspects.begin(x.poison) {
		h.refuse(x, poisoned())
		return
	}
	defer h.suspects.end(x.poison)
	limit := x.limit()
	if limit < 0 {
		h.refuse(x, notRun(ReasonDeadlineSpent, comeBack))
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), limit, errDeadline)
	defer cancel()
	x.ctx = ctx
	h.Dispatcher.arrived(x.service.Name)
	if x.route.Stream {
		h.stream(x)
	} else {
		h.plain(x)
	}
}

// errDeadline is why a request ends whose time is over.
var errDeadline = errors.New("request's time is over")

// unlimited stands for a request without any limit.
const unlimited = time.Hour

// limit is how long the request may go on.
func (x *exchange) limit() time.Duration {
	limit := unlimited
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.call.Wait > 0 {
		limit = min(limit, x.call.Wait)
	}
	return limit - time.Since(x.start)
}

// waitsForConfig is how long the request waits for the first configuration.
func (x *exchange) waitsForConfig() time.Duration {
	if x.call.Wait <= 0 {
		return firstConfig
	}
	return min(firstConfig, time.Duration(firstConfigPart*float64(x.call.Wait)))
}

// left is how long the caller or the route still waits.
func (x *exchange) left() time.Duration {
	deadline, _ := x.ctx.Deadline()
	return time.Until(deadline)
}

// admit finds the request's route, account and service.
func (h *Handler) admit(x *exchange) *refusal {
	table := h.Dispatcher.FirstTable(x.r.Context(), x.waitsForConfig())
	if table == nil {
		return notRun(ReasonNoConfig, comeBackUnproven)
	}
	proven := h.Proven()
	route, ok := table.Match(hostOf(x.r.Host), x.r.URL.Path)
	if !ok {
		if !proven {
			return notRun(ReasonStale, comeBackUnproven)
		}
		return rejected(http.StatusNotFound, ReasonNoRoute)
	}
	x.route = route
	if table.NeedsKey(route) {
		// A key that was taken away must not open anything, so a VM which can't
		// know of that refuses.
		if !proven {
			return notRun(ReasonStale, comeBackUnproven)
		}
		if x.account, ok = table.Account(x.call.Key); !ok {
			return rejected(http.StatusUnauthorized, ReasonUnknownKey)
		}
	}
	if x.service, ok = table.Service(route.Pick(rand.Float64())); !ok {
		return notRun(ReasonNoService, comeBackUnproven)
	}
	return nil
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// read takes the request's body in. It is needed whole: an attempt that fails
// before a server ran it is made again elsewhere.
func (h *Handler) read(x *exchange) *refusal {
	limit := int64(defaultBody)
	if table := h.Dispatcher.Table(); table.Limits.BodyBytes > 0 {
		limit = table.Limits.BodyBytes
	}
	if x.r.ContentLength > limit {
		return rejected(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if h.bodies.Load()+max(x.r.ContentLength, 0) > bodiesAtOnce {
		return notRun(ReasonBusy, comeBack)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return rejected(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if err != nil {
		return rejected(http.StatusBadRequest, ReasonBodyUnread)
	}
	h.bodies.Add(int64(len(body)))
	x.body = body
	return nil
}

// left notes that the caller went before the answer's end, if so. What was being
// done for it has ended with its connection.
func (h *Handler) left(x *exchange, cause error) bool {
	if x.r.Context().Err() == nil {
		return false
	}
	metrics.GetOrCreateCounter("oleandershunt_relay_left_total").Inc()
	telemetry.RelayLeft.Log(h.Log, append(x.fields(), "after", x.after, "cause", telemetry.Cause(cause))...)
	return true
}

// refuse answers a request that nothing was answered to so far.
func (h *Handler) refuse(x *exchange, r *refusal) {
	// Written in any case: a handler that returns without a word would answer 200.
	r.write(x.w)
	if h.left(x, context.Cause(x.r.Context())) {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_refused_total{reason=%q}", r.reason)).Inc()
	telemetry.RelayRefused.Log(h.Log, append(x.fields(), "reason", r.reason, "execution", r.execution, "status", r.status, "detail", x.detail)...)
}

// fields are what each line about a request has.
func (x *exchange) fields() []any {
	return []any{
		"request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "account", x.account.Name,
		"ms", time.Since(x.start).Milliseconds(), "sends", x.sends, "events", x.events, "avoid", strings.Join(x.avoid, " "),
	}
}

// ended notes an answer that was passed on whole.
func (h *Handler) ended(x *exchange, o *opened, status int) {
	h.noteLate(x, o)
	if status < http.StatusInternalServerError {
		h.suspects.acquit(x.poison)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_answered_total{status=\"%d\"}", status)).Inc()
	metrics.GetOrCreateHistogram("oleandershunt_relay_seconds").UpdateDuration(x.start)
	if x.sends > 1 || status >= http.StatusInternalServerError {
		telemetry.RelayAnswered.Log(h.Log, append(x.fields(), "status", status)...)
	}
}
