package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/membound"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/quarantine"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/share"
)

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
	body         requestBody
	// memory is what the body holds; nil without a body.
	memory *membound.Body
	// poison identifies the content of the request, to recognise one that crashes servers.
	poison poison.Body
	// contents are what the request has in common with others that may crash servers. claim
	// identifies the request where it claims a trial of some of them, and trial is the same once it
	// runs as one. onTrial are those that it is the trial of.
	contents, onTrial []quarantine.Content
	claim, trial      uint64
	start             time.Time
	// preferred is the data centre in which the request is to start. Empty until it is drawn.
	preferred string
	attemptHistory
	// firstRecorded says that the outcome of the first attempt was counted.
	firstRecorded bool
	// replaces says that the attempts are made beside a silent one.
	replaces bool
	// retryReserved says that the next attempt's retry was already taken from the budget.
	retryReserved bool
	// retryTakenAt is when the next attempt's retry was taken from the budget; 0 without one.
	retryTakenAt time.Duration
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
	// begun is set once the contents were cleared since the stream has begun. Guarded by the lock of
	// the handler's suspects.
	begun bool
	// headWritten says that the caller has the head of a response, so that it can't be refused any more.
	headWritten bool
	delivered
}

// delivered is what the caller has of a stream: the number of events and the ID of the last one.
type delivered struct {
	events int
	after  string
}

// attemptHistory is what a request's attempts have shown so far.
type attemptHistory struct {
	// avoid lists the servers that failed the request.
	avoid []string
	// ranOn lists the servers that ran it or may have. Those that broke it off while leaving are in
	// cutByDrain instead.
	ranOn, cutByDrain []string
	// allowed, if set, lists the only servers that the next attempt may use.
	allowed []string
	// sends counts the attempts sent to a server, and refusals those reported as not run.
	sends, refusals int
	// mayHaveRun says that a server may have begun to run the request.
	mayHaveRun bool
}

// clone returns a copy that shares nothing.
func (a attemptHistory) clone() attemptHistory {
	a.avoid, a.ranOn, a.cutByDrain, a.allowed = slices.Clone(a.avoid), slices.Clone(a.ranOn), slices.Clone(a.cutByDrain), slices.Clone(a.allowed)
	return a
}

// recordFailure records that a server may have run the request and did not return a valid
// response.
func (a *attemptHistory) recordFailure(choice backends.Choice) {
	a.avoid = append(a.avoid, choice.First.ID)
	a.recordRan(choice)
}

// recordRan records that a server may have run the request.
func (a *attemptHistory) recordRan(choice backends.Choice) {
	a.mayHaveRun = true
	if !slices.Contains(a.cutByDrain, choice.First.ID) {
		a.ranOn = appendMissing(a.ranOn, choice.First.ID)
	}
}

// appendMissing appends the elements that a list doesn't have.
func appendMissing(list []string, more ...string) []string {
	for _, element := range more {
		if !slices.Contains(list, element) {
			list = append(list, element)
		}
	}
	return list
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

// logFields returns the fields of each log line about a request.
func (x *exchange) logFields() []any {
	return []any{
		"request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "account", x.account.Name,
		"ms", time.Since(x.start).Milliseconds(), "sends", x.sends, "events", x.events, "avoid", strings.Join(x.avoid, " "),
	}
}
