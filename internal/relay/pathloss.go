package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/tunnel"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const (
	// lostPathSilence is how long an attempt over a lost path may be silent: events come 20 to 50 ms
	// apart, and a response may be on its way when the path is lost.
	lostPathSilence = 150 * time.Millisecond
	// unreachableTime keeps new requests off a server that no VM reaches. It is renewed at each
	// probe.
	unreachableTime = time.Second
	// minUnansweredTime is how long a server must leave a request without a response for that to say
	// anything about it, and unansweredCheckTimeout bounds the check of the server then.
	minUnansweredTime      = 500 * time.Millisecond
	unansweredCheckTimeout = time.Second
	// lossLogsPerSecond and lossLogBurst limit the log lines on lost servers.
	lossLogsPerSecond = 5
	lossLogBurst      = 20
	// pathChecksPerSecond limits the checks of paths by attempts without a watchdog. Each opens a
	// connection, which may take a slot of a small server.
	pathChecksPerSecond = 1
)

// errPathLost is the cancellation cause of an attempt whose server is reached by other VMs only.
var errPathLost = errors.New("path to the backend server is lost")

// tunnel returns the connection through another VM over which the attempt was sent, or nil.
func (o *openAttempt) tunnel() *tunnel.Conn {
	sent := o.sent.Load()
	if sent == nil {
		return nil
	}
	conn, _ := sent.Conn().(*tunnel.Conn)
	return conn
}

// sentDirectly reports whether the request has left this VM, over a direct connection.
func (o *openAttempt) sentDirectly() bool {
	sent := o.sent.Load()
	return sent != nil && sent.Any() && o.tunnel() == nil
}

// way returns the way to the server, as counted in metrics.
func (o *openAttempt) way() string {
	if o.tunnel() != nil {
		return wayVM
	}
	return wayDirect
}

// isolated reports whether no VM reaches a server. A request whose response has begun waits all the
// same.
func (h *Handler) isolated(x *exchange) bool {
	return x.events == 0 && h.Servers.Isolated(x.service.Name)
}

// lossCause is why an attempt's connection broke.
type lossCause int

const (
	// notLost: the caller, the time limit or the watchdog ended the attempt, or its response was
	// too long or had an invalid head.
	notLost lossCause = iota
	// lossOfServer: the server has ended, or closed the connection.
	lossOfServer
	// lossOfPath: this VM's path to the server is lost, since another VM connects to it.
	lossOfPath
	// lossUnexplained: no VM reaches a server of the service. All of them ended, or all paths are
	// lost.
	lossUnexplained
)

// examineLoss finds out why an attempt's connection broke.
//
// What can go wrong: a VM that loses its links has the connections to several servers reset, and is
// then refused by each, which looks as if they had crashed. If it counted these losses as crashes, a
// body that was running on several servers would be refused by all VMs for long.
func (h *Handler) examineLoss(x *exchange, o *openAttempt, err error) lossCause {
	if errors.Is(context.Cause(o.ctx), errPathLost) {
		return lossOfPath
	}
	if err == nil || x.ctx.Err() != nil || errors.Is(context.Cause(o.ctx), errStalled) || errors.Is(err, wire.ErrInvalidHead) {
		return notLost
	}
	verdict, cause := h.Servers.Check(x.ctx, o.choice.First.Address), lossOfServer
	isolated := h.Servers.Isolated(x.service.Name)
	switch {
	case verdict == serverconn.PathLost:
		cause = lossOfPath
	case verdict == serverconn.Unknown && isolated:
		cause = lossUnexplained
	}
	h.logLoss(x, o.choice.First, verdict, isolated, cause == lossOfServer)
	return cause
}

// recordUnanswered records a server that left a request without a response, or a stream without an event,
// until the caller or the time limit ended it, if no VM connects to the server any more.
func (h *Handler) recordUnanswered(x *exchange, o *openAttempt) {
	silence := bootclock.Now() - o.sentAt
	if o.response != nil && x.events > 0 {
		silence = min(silence, time.Since(x.timing.lastEvent))
	}
	if silence < minUnansweredTime {
		return
	}
	at := *x // the request's goroutine ends
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), unansweredCheckTimeout)
		defer cancel()
		server := o.sentTo.First
		verdict := h.Servers.Check(ctx, server.Address)
		if verdict == serverconn.Ended || verdict == serverconn.Unknown {
			h.recordUnreachable(&at, server, verdict)
		}
	}()
}

// recordUnreachable records a server that has a request and doesn't respond, and to which no VM
// connects any more.
func (h *Handler) recordUnreachable(x *exchange, server backends.Server, verdict serverconn.Verdict) {
	if h.Dispatcher.draining(server.ID) {
		return
	}
	h.logLoss(x, server, verdict, h.Servers.Isolated(x.service.Name), false)
	h.quarantineLoss(x, server, bootclock.Now(), true)
}

// logLoss logs and counts a server that was lost while it ran a request.
func (h *Handler) logLoss(x *exchange, server backends.Server, verdict serverconn.Verdict, isolated, counted bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_losses_total{verdict=%q,counted=\"%t\"}", verdict, counted)).Inc()
	if h.lossLogLimiter.Allow() {
		telemetry.RelayServerLost.Log(h.Log, "request", x.call.ID, "service", x.service.Name, "server", server.ID, "verdict", verdict.String(),
			"isolated", isolated, "counted", counted, "account", x.account.Name, "path", x.poison.Pipeline, "hash", x.poison.Hash, "parts", formatParts(x.call.SharedParts), "events", x.events)
	}
}

// formatParts formats the IDs of parts of a prompt for log lines.
func formatParts(parts []uint64) string {
	var list []string
	for _, part := range parts {
		list = append(list, strconv.FormatUint(part, 16))
	}
	return strings.Join(list, ",")
}

// pathListener acts on what is found out about the paths to servers.
type pathListener struct{ h *Handler }

// PathsLost implements serverconn.Listener.
func (l pathListener) PathsLost() {
	for _, w := range l.h.watchdogs.list() {
		go w.replaceIfPathLost()
	}
	for _, p := range l.h.pathWatches.list() {
		go p.endIfPathLost()
	}
}

// Unreachable implements serverconn.Listener. No request is used to find out whether the servers
// are reached again.
func (l pathListener) Unreachable(addresses []string) {
	l.h.Dispatcher.markSilent(unreachableTime, addresses...)
}

// Reachable implements serverconn.Listener.
func (l pathListener) Reachable(addresses []string) { l.h.Dispatcher.markResponding(addresses...) }

// replaceIfPathLost has another attempt made for a silent one whose path is lost, and reports whether the
// path is lost.
func (w *watchdog) replaceIfPathLost() bool {
	w.mu.Lock()
	first := w.o.choice.First
	w.mu.Unlock()
	if !w.o.sentDirectly() || !w.h.Servers.SilentlyLost(first.Address) {
		return false
	}
	if silence := w.silentFor(); silence < lostPathSilence {
		w.resetTimer(lostPathSilence - silence)
		return true
	}
	w.replaceForPathLoss()
	return true
}

// replaceForPathLoss has another attempt made, possibly on the same server.
func (w *watchdog) replaceForPathLoss() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replaceLocked(replacePathLost) && w.isFirstLocked(telemetry.RelayPathLost, w.o.choice.First.ID) {
		telemetry.RelayPathLost.Log(w.h.Log, "request", w.base.call.ID, "server", w.o.choice.First.ID)
	}
}

// handleNoReport handles a first server that sent no report: its path is lost, it is silent for a
// moment, or it has ended.
func (w *watchdog) handleNoReport(first backends.Server, err error) {
	verdict := w.h.Servers.Check(w.o.ctx, first.Address)
	switch {
	case w.o.ctx.Err() != nil: // the attempt has ended
	case verdict == serverconn.PathLost && w.replaceIfPathLost():
	case verdict == serverconn.Unknown && w.h.Servers.Isolated(w.base.service.Name):
		w.resetTimer(w.h.StallTimeout / 2)
	case verdict == serverconn.Reached || verdict == serverconn.PathLost:
		w.handleSilentServer(first, err)
	default:
		w.logStalled(first, err)
		w.h.recordDarkServer(first, verdict)
		w.h.MarkUnresponsive(first.ID, false)
	}
}

// checkDark checks a server inside a path that another server finds unresponsive.
func (h *Handler) checkDark(id string) {
	server, ok := h.Dispatcher.server(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), unansweredCheckTimeout)
	defer cancel()
	verdict := h.Servers.Check(ctx, server.Address)
	if verdict == serverconn.Ended || verdict == serverconn.Unknown && ctx.Err() == nil && !h.Servers.Isolated(server.Service) {
		h.recordDarkServer(server, verdict)
	}
}

// recordDarkServer records a server to which no VM connects, against all that silent streams through it
// contain.
//
// What can go wrong: a request crashes each server that runs it, and the servers' machines go with them.
// No connection is closed, so nothing but the silence shows it; each time that the request comes it takes
// two servers more.
func (h *Handler) recordDarkServer(server backends.Server, verdict serverconn.Verdict) {
	for _, w := range h.watchdogs.list() {
		if w.silentFor() >= minMoveSilence && w.loses(server.ID) {
			x := w.snapshot()
			h.recordUnreachable(&x, server, verdict)
		}
	}
}

func (w *watchdog) logStalled(first backends.Server, err error) {
	if w.isFirst(telemetry.RelayStalled, first.ID) {
		telemetry.RelayStalled.Log(w.h.Log, "request", w.base.call.ID, "first", first.ID, "blamed", first.ID, "cause", telemetry.Cause(err))
	}
}

// pathWatch ends an attempt without a watchdog whose path is lost.
type pathWatch struct {
	h     *Handler
	o     *openAttempt
	timer *time.Timer
	start time.Time
	// base is the request as it was when the attempt began, and request describes the server that another
	// attempt needs.
	base    exchange
	request backends.Request
	// retryReserved is set if the attempt was ended with a retry reserved.
	retryReserved atomic.Bool
	// reservedAt is when it was taken from the budget.
	reservedAt atomic.Int64
}

// watchPath starts watching an attempt's path.
func (h *Handler) watchPath(x *exchange, o *openAttempt) *pathWatch {
	p := &pathWatch{h: h, o: o, start: time.Now()}
	if h.StallTimeout <= 0 {
		return p
	}
	p.base, p.request = *x, h.choiceRequest(x)
	p.base.attemptHistory = x.clone()
	p.base.sends++ // this attempt's
	p.timer = time.AfterFunc(h.StallTimeout, p.inspect)
	h.pathWatches.add(p)
	return p
}

func (p *pathWatch) stop(x *exchange) {
	if p.timer != nil {
		p.timer.Stop()
		p.h.pathWatches.remove(p)
		if x.retryReserved = p.retryReserved.Load(); x.retryReserved {
			x.retryTakenAt = time.Duration(p.reservedAt.Load())
		}
	}
}

// inspect checks the path of an attempt that got no response for long.
func (p *pathWatch) inspect() {
	switch {
	case !p.o.sentDirectly():
	case p.h.pathCheckLimiter.Allow():
		verdict := p.h.Servers.Check(p.o.ctx, p.o.choice.First.Address)
		gone := verdict == serverconn.Ended || verdict == serverconn.Unknown
		if gone && !p.base.route.Stream && p.o.ctx.Err() == nil {
			p.h.recordUnreachable(&p.base, p.o.sentTo.First, verdict)
		}
	default:
		p.timer.Reset(p.h.StallTimeout)
	}
	p.endIfPathLost()
}

// endIfPathLost ends a silent attempt whose path is lost, if it may run again and a retry is reserved.
// The response to one that may not is waited for, since the path may work again in time.
func (p *pathWatch) endIfPathLost() {
	if p.o.ctx.Err() != nil || p.base.route.Repeat != routes.Repeatable || !p.o.sentDirectly() || !p.h.Servers.SilentlyLost(p.o.choice.First.Address) {
		return
	}
	if silence := time.Since(p.start); silence < lostPathSilence {
		time.AfterFunc(lostPathSilence-silence, p.endIfPathLost)
		return
	}
	if p.retryReserved.Load() || !p.reserveRetry() {
		return
	}
	p.retryReserved.Store(true)
	countEnded(replacePathLost.name)
	p.o.cancel(errPathLost)
}

// reserveRetry takes a retry from the budget if another attempt is allowed and finds a server.
func (p *pathWatch) reserveRetry() bool {
	x, first := &p.base, p.o.choice.First.ID
	if !p.h.mayRunAgain(x, x.sends) {
		return false
	}
	request := p.request
	if !p.h.mayRunElsewhere(x, appendMissing(slices.Clone(x.ranOn), first)) {
		request.Avoid, request.Allowed = nil, appendMissing(slices.Clone(x.ranOn), first)
	}
	if _, err := p.h.Dispatcher.preview(x.service, request); err != nil {
		return false
	}
	at, allowed := p.h.Dispatcher.takeRetry(x.service.Name, unansweredBudgetShare)
	if allowed {
		p.reservedAt.Store(int64(at))
	}
	return allowed
}

// attemptSet is a set of requests or attempts in progress. It is safe for concurrent use.
type attemptSet[T comparable] struct {
	mu      sync.Mutex
	members map[T]struct{}
}

func newAttemptSet[T comparable]() *attemptSet[T] {
	return &attemptSet[T]{members: make(map[T]struct{})}
}

func (s *attemptSet[T]) add(member T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[member] = struct{}{}
}

func (s *attemptSet[T]) remove(member T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, member)
}

func (s *attemptSet[T]) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

func (s *attemptSet[T]) list() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]T, 0, len(s.members))
	for member := range s.members {
		list = append(list, member)
	}
	return list
}
