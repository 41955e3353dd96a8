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

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/quarantine"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/share"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// Limits and defaults of the handler.
const (
	// idleConnsPerServer is the number of idle connections kept to each server.
	idleConnsPerServer = 8
	// maxBufferedBodyBytes bounds the bytes of all request bodies in memory, so that many large
	// requests at once don't exhaust the VM's memory.
	maxBufferedBodyBytes = 64 << 20
	// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// retryAfterDefault is the Retry-After of a request for which no server was found: the time
	// within which a lost server's layers are usually available elsewhere.
	retryAfterDefault = 500 * time.Millisecond
	// retryAfterUnproven is the Retry-After where the configuration isn't proven to be the
	// newest: the interval at which it is read.
	retryAfterUnproven = time.Second
	// maxConfigWait is how long a request waits for the first configuration of a VM that has
	// just started, and configWaitShare bounds that by a share of the caller's timeout. VMs
	// that all start at once have their configuration within half of maxConfigWait.
	maxConfigWait   = 500 * time.Millisecond
	configWaitShare = 0.5
)

// Options configure a Handler.
type Options struct {
	Log        logr.Logger
	Wire       Wire
	Engines    Engines
	Dispatcher *Dispatcher
	// Proven reports whether the configuration in force was confirmed as the newest recently
	// enough to trust its keys.
	Proven func() bool
	// DataCentre is the data centre of the VM.
	DataCentre string
	// OnUnresponsive, if set, is called with the ID of a server that another server waits for without a
	// response.
	OnUnresponsive func(id string)
	// OnFindings, if set, is called when there are findings that the other VMs need at once.
	OnFindings func()
	// StallTimeout is how long a stream may be silent before the handler checks its path.
	StallTimeout time.Duration
	// Saturated, if set, reports whether the VM refuses new requests since it has reached one of its
	// limits, with the reason for the log.
	Saturated func() (detail string, saturated bool)
	// Servers connects to backend servers. Nil means directly only, without probes of lost paths.
	Servers *serverconn.Connector
}

// Handler serves callers' requests.
type Handler struct {
	Options
	transports    serverconn.Transports
	bodyBytes     atomic.Int64
	inFlight      atomic.Int64
	watchdogs     *attemptSet[*watchdog]
	pathWatches   *attemptSet[*pathWatch]
	reports       *reportCache
	suspects      *poisonSuspects
	silentServers *silentServers
	// pathCheckLimiter limits the checks of paths by attempts without a watchdog.
	pathCheckLimiter *rate.Limiter
	// lateLogLimiter limits the log lines on late responses.
	lateLogLimiter *rate.Limiter
	// lossLogLimiter limits the log lines on lost servers.
	lossLogLimiter *rate.Limiter
	signals        *Signals
}

// New returns a handler.
func New(options Options) *Handler {
	if options.Servers == nil {
		options.Servers = serverconn.New(serverconn.Options{Log: options.Log, Dial: wire.Dial, Now: bootclock.Now, Service: options.Dispatcher.ServiceAt})
	}
	h := &Handler{
		Options:          options,
		transports:       options.Servers.Transports(idleConnsPerServer),
		reports:          newReportCache(options.Engines),
		suspects:         newPoisonSuspects(),
		watchdogs:        newAttemptSet[*watchdog](),
		pathWatches:      newAttemptSet[*pathWatch](),
		silentServers:    newSilentServers(),
		pathCheckLimiter: rate.NewLimiter(pathChecksPerSecond, 1),
		lateLogLimiter:   rate.NewLimiter(lateLogsPerSecond, lateLogBurst),
		lossLogLimiter:   rate.NewLimiter(lossLogsPerSecond, lossLogBurst),
		signals:          NewSignals(options.Log, options.Dispatcher),
	}
	options.Servers.SetListener(pathListener{h})
	return h
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// exchange is the state of one request.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	call    Call
	route   routes.Route
	service routes.Service
	account routes.Account
	// shareMark says how the request stands to its account's share of the service.
	shareMark share.Mark
	// shed says that the request is refused in favour of others.
	shed bool
	// startCounted says that a server was chosen for the request, which counts as its start.
	startCounted bool
	body         []byte
	// poison identifies the content of the request, to recognise one that crashes servers.
	poison poison.Body
	// contents are what the request has in common with others that may crash servers. claim
	// identifies the request where it claims a trial of some of them, and trial is the same once it
	// runs as one. jointTrial is set if it is the trial of several.
	contents     []quarantine.Content
	claim, trial uint64
	jointTrial   bool
	start        time.Time
	// preferred is the data centre in which the request is to start. Empty until it is drawn.
	preferred string
	// avoid lists the servers that failed the request.
	avoid []string
	// ranOn lists the servers that ran the request or may have. Those that broke it off while
	// leaving are in cutByDrain instead.
	ranOn, cutByDrain []string
	// allowed, if set, lists the only servers that the next attempt may use.
	allowed []string
	// sends counts the attempts sent to a server, and refusals those reported as not run.
	sends, refusals int
	// firstRecorded says that the outcome of the first attempt was counted.
	firstRecorded bool
	// retryReserved says that the next attempt's retry was already taken from the budget.
	retryReserved bool
	// mayHaveRun says that a server may have begun to run the request.
	mayHaveRun bool
	// detail is the reason why no server was found, for the log line of the refusal.
	detail string
	// deferReason is set if no server was found because all those that could take the request
	// are paused or rate-limited for this VM. retryIn is the time until one accepts it, 0 if
	// unknown.
	deferReason Reason
	retryIn     time.Duration
	// entered is set once the request was in the admission queue or started. claimed says that it
	// returned at its promised time.
	entered, claimed bool
	timing           deliveryTiming
	// begun is set once the contents were cleared since the stream has begun.
	begun bool
	// events counts the delivered events; after is the ID of the last one.
	events int
	after  string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{w: w, r: r, start: time.Now(), call: h.Wire.Read(r)}
	defer h.closeOnPanic(x)
	refused := h.refuseSaturated(x)
	if refused == nil {
		refused = h.admit(x)
	}
	if refused == nil {
		refused = h.readBody(x)
	}
	if refused != nil {
		h.refuse(x, refused)
		return
	}
	defer h.bodyBytes.Add(-int64(len(x.body)))
	x.poison = poisonBody(x)
	x.contents = contentsOf(x)
	if refused := h.suspects.begin(x); refused != nil {
		h.refuse(x, refused)
		return
	}
	defer h.suspects.end(x)
	if refused := h.admitContents(x); refused != nil {
		h.refuse(x, refused)
		return
	}
	limit := x.timeLimit()
	if limit < 0 {
		h.refuse(x, notRunRefusal(ReasonDeadlineSpent, retryAfterDefault))
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), limit, errDeadline)
	defer cancel()
	x.ctx = ctx
	h.Dispatcher.countArrival(x)
	if x.route.Stream {
		h.serveStream(x)
	} else {
		h.servePlain(x)
	}
}

// errDeadline is the cancellation cause of a request whose time limit has passed.
var errDeadline = errors.New("request's time is over")

// defaultTimeLimit bounds a request without a limit of its own.
const defaultTimeLimit = time.Hour

// timeLimit returns the remaining time of the request, counted from its arrival.
func (x *exchange) timeLimit() time.Duration {
	limit := defaultTimeLimit
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.call.Timeout > 0 {
		limit = min(limit, x.call.Timeout)
	}
	return limit - time.Since(x.start)
}

// configWait returns how long the request waits for the first configuration.
func (x *exchange) configWait() time.Duration {
	if x.call.Timeout <= 0 {
		return maxConfigWait
	}
	return min(maxConfigWait, time.Duration(configWaitShare*float64(x.call.Timeout)))
}

// remaining returns the time until the deadline of the caller or the route.
func (x *exchange) remaining() time.Duration {
	deadline, _ := x.ctx.Deadline()
	return time.Until(deadline)
}

// admit looks up the request's route, account and service.
func (h *Handler) admit(x *exchange) *refusal {
	table := h.Dispatcher.WaitTable(x.r.Context(), x.configWait())
	if table == nil {
		return notRunRefusal(ReasonNoConfig, retryAfterUnproven)
	}
	proven := h.Proven()
	route, ok := table.Match(hostOf(x.r.Host), x.r.URL.Path)
	if !ok {
		if !proven {
			return notRunRefusal(ReasonStale, retryAfterUnproven)
		}
		return rejection(http.StatusNotFound, ReasonNoRoute)
	}
	x.route = route
	if table.NeedsKey(route) {
		// A revoked key must not be accepted, so a VM that can't know of the revocation
		// refuses.
		if !proven {
			return notRunRefusal(ReasonStale, retryAfterUnproven)
		}
		if x.account, ok = table.Account(x.call.Key); !ok {
			return rejection(http.StatusUnauthorized, ReasonUnknownKey)
		}
	}
	if x.service, ok = table.Service(route.Pick(rand.Float64())); !ok {
		return notRunRefusal(ReasonNoService, retryAfterUnproven)
	}
	return nil
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// readBody reads the request's body into memory. The whole body is needed because an attempt
// that fails before a server ran it is retried on another server.
func (h *Handler) readBody(x *exchange) *refusal {
	limit := int64(defaultMaxBodyBytes)
	if table := h.Dispatcher.Table(); table.Limits.BodyBytes > 0 {
		limit = table.Limits.BodyBytes
	}
	if x.r.ContentLength > limit {
		return rejection(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if h.bodyBytes.Load()+max(x.r.ContentLength, 0) > maxBufferedBodyBytes {
		return notRunRefusal(ReasonBusy, retryAfterDefault)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return rejection(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if err != nil {
		return rejection(http.StatusBadRequest, ReasonBodyUnread)
	}
	h.bodyBytes.Add(int64(len(body)))
	x.body = body
	return nil
}

// callerLeft reports, counts and logs whether the caller disconnected before the end of the
// response. Its attempts end with its connection.
func (h *Handler) callerLeft(x *exchange, cause error) bool {
	if x.r.Context().Err() == nil {
		return false
	}
	metrics.GetOrCreateCounter("oleandershunt_relay_left_total").Inc()
	telemetry.RelayLeft.Log(h.Log, append(x.logFields(), "after", x.after, "cause", telemetry.Cause(cause))...)
	return true
}

// refuse sends a refusal as the response. Nothing must have been sent before.
func (h *Handler) refuse(x *exchange, r *refusal) {
	// Written in any case: a handler that returns without writing would respond with 200.
	r.write(x.w)
	if h.callerLeft(x, context.Cause(x.r.Context())) {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_refused_total{reason=%q}", r.reason)).Inc()
	telemetry.RelayRefused.Log(h.Log, append(x.logFields(), "reason", r.reason, "execution", r.execution, "status", r.status, "overShare", x.shareMark == share.Over, "detail", x.detail)...)
}

// logFields returns the fields of each log line about a request.
func (x *exchange) logFields() []any {
	return []any{
		"request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "account", x.account.Name,
		"ms", time.Since(x.start).Milliseconds(), "sends", x.sends, "events", x.events, "avoid", strings.Join(x.avoid, " "),
	}
}

// recordCompleted records a response that was forwarded completely.
func (h *Handler) recordCompleted(x *exchange, o *openAttempt, status int) {
	h.logLate(x, o)
	if status < http.StatusBadRequest {
		h.recordAnswer(x)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_answered_total{status=\"%d\"}", status)).Inc()
	metrics.GetOrCreateHistogram("oleandershunt_relay_seconds").UpdateDuration(x.start)
	if x.sends > 1 || status >= http.StatusInternalServerError {
		telemetry.RelayAnswered.Log(h.Log, append(x.logFields(), "status", status)...)
	}
}
