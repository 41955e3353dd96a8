package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/share"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// Limits and defaults of the handler.
const (
	// idleConnsPerServer is the number of idle connections kept to each server.
	idleConnsPerServer = 8
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
	// OnBlocked, if set, is called with content that is to be kept for VMs that start later.
	OnBlocked func(Block)
	// StallTimeout is how long a stream may be silent before the handler checks its path.
	StallTimeout time.Duration
	// Saturated, if set, reports whether the VM refuses new requests since it has reached one of its
	// limits, with the reason for the log.
	Saturated func() (detail string, saturated bool)
	// BufferBytes bounds the memory that callers and servers fill, in bytes. 0 means defaultBufferBytes.
	BufferBytes int64
	// Servers connects to backend servers. Nil means directly only, without probes of lost paths.
	Servers *serverconn.Connector
}

// Handler serves callers' requests.
type Handler struct {
	Options
	transports serverconn.Transports
	buffers    *buffers
	// requests are those being served, and ended is set once the VM cuts them at the end of its stop.
	requests *attemptSet[*exchange]
	ended    atomic.Bool
	// end is when the VM ends, once its stop has come so far.
	end           vmEnd
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
		buffers:          newBuffers(options.BufferBytes),
		transports:       options.Servers.Transports(idleConnsPerServer),
		reports:          newReportCache(options.Engines),
		suspects:         newPoisonSuspects(),
		requests:         newAttemptSet[*exchange](),
		end:              vmEnd{known: make(chan struct{})},
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
func (h *Handler) InFlight() int { return h.requests.size() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, r: r, start: time.Now(), call: h.Wire.Read(r)}
	h.requests.add(x)
	defer h.requests.remove(x)
	defer h.closeOnPanic(x)
	defer h.releaseBody(x)
	defer h.returnRetry(x)
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

// callerLeft reports, counts and logs whether the caller disconnected before the end of the
// response. Its attempts end with its connection.
func (h *Handler) callerLeft(x *exchange, cause error) bool {
	if x.r.Context().Err() == nil {
		return false
	}
	if h.ended.Load() {
		return true // RecordCutByStop has logged it
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
