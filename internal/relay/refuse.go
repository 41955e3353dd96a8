package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Execution says what became of a request that is refused.
type Execution string

// The truths about a request.
const (
	// NotRun: no backend server ran it, and none will.
	NotRun Execution = "not_run"
	// MayHaveRun: a server had it, and what became of it isn't known.
	MayHaveRun Execution = "may_have_run"
)

// Reason is why a request is refused, the same word in answers, logs and metrics.
type Reason string

// The reasons.
const (
	ReasonNoRoute       Reason = "no_route"
	ReasonUnknownKey    Reason = "unknown_key"
	ReasonNoConfig      Reason = "no_configuration"
	ReasonStale         Reason = "configuration_unproven"
	ReasonBodyTooLarge  Reason = "body_too_large"
	ReasonBodyUnread    Reason = "body_unread"
	ReasonBusy          Reason = "vm_busy"
	ReasonNoServer      Reason = "no_server"
	ReasonRefused       Reason = "servers_refused"
	ReasonLimited       Reason = "servers_limited"
	ReasonPaused        Reason = "servers_paused"
	ReasonBroken        Reason = "answer_broken"
	ReasonTimeout       Reason = "timeout"
	ReasonNoService     Reason = "service_unknown"
	ReasonDeadlineSpent Reason = "deadline_spent"
	ReasonPoison        Reason = "crashes_servers"
)

// refusal is an answer of this VM's own.
type refusal struct {
	status    int
	reason    Reason
	execution Execution
	// retryAfter is when to come back. 0 leaves it out.
	retryAfter time.Duration
}

// notRun is the refusal of a request that no server ran: the status promises so.
func notRun(reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, execution: NotRun, retryAfter: retryAfter}
}

// rejected is the refusal of a request that can't be taken as it is.
func rejected(status int, reason Reason) *refusal {
	return &refusal{status: status, reason: reason, execution: NotRun}
}

// unknown is the refusal of a request that may have run: the status promises nothing.
func unknown(reason Reason) *refusal {
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
	// A caller that left can't be told; its connection is closed by the server.
	_, _ = w.Write(body)
}
