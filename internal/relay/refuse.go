package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Execution says whether a refused request may have run.
type Execution string

// Values of Execution.
const (
	// NotRun: no backend server ran it, and none will.
	NotRun Execution = "not_run"
	// MayHaveRun: a server received it, and the outcome is unknown.
	MayHaveRun Execution = "may_have_run"
)

// Reason is why a request is refused, the same string in responses, logs and metrics.
type Reason string

// Reasons of refusals.
const (
	ReasonNoRoute       Reason = "no_route"
	ReasonUnknownKey    Reason = "unknown_key"
	ReasonNoConfig      Reason = "no_configuration"
	ReasonStale         Reason = "configuration_unproven"
	ReasonBodyTooLarge  Reason = "body_too_large"
	ReasonBodyUnread    Reason = "body_unread"
	ReasonBodySlow      Reason = "body_too_slow"
	ReasonBusy          Reason = "vm_busy"
	ReasonNoServer      Reason = "no_server"
	ReasonOverloaded    Reason = "overloaded"
	ReasonRefused       Reason = "servers_refused"
	ReasonLimited       Reason = "servers_limited"
	ReasonPaused        Reason = "servers_paused"
	ReasonBroken        Reason = "answer_broken"
	ReasonTimeout       Reason = "timeout"
	ReasonNoService     Reason = "service_unknown"
	ReasonDeadlineSpent Reason = "deadline_spent"
	ReasonPoison        Reason = "crashes_servers"
	ReasonHeldBack      Reason = "held_back"
	ReasonStopping      Reason = "vm_stopping"
)

// refusal is a response that this VM generates itself.
type refusal struct {
	status    int
	reason    Reason
	execution Execution
	// retryAfter is sent as Retry-After. 0 omits the header.
	retryAfter time.Duration
}

// notRunRefusal is the refusal of a request that no server ran; its status 503 promises that.
func notRunRefusal(reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, execution: NotRun, retryAfter: retryAfter}
}

// rejection is the refusal of a request that can't be accepted as it is.
func rejection(status int, reason Reason) *refusal {
	return &refusal{status: status, reason: reason, execution: NotRun}
}

// uncertainRefusal is the refusal of a request that may have run; its status 502 or 504 promises
// nothing.
func uncertainRefusal(reason Reason) *refusal {
	status := http.StatusBadGateway
	if reason == ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, reason: reason, execution: MayHaveRun}
}

func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	clear(header)
	header.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	body, err := json.Marshal(map[string]string{"reason": string(r.reason), "execution": string(r.execution)})
	if err != nil {
		panic(err) // strings always encode
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	// A write error means that the caller has disconnected; the HTTP server closes the
	// connection.
	_, _ = w.Write(body)
}
