package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Problem is a refusal as callers see it, after RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Detail names the remedy.
	Detail string `json:"detail"`
	// Execution tells whether the request ran.
	Execution request.Execution `json:"execution"`
	Reason    string            `json:"reason"`
	// Request is the id under which the VM's records explain the refusal.
	Request string `json:"request,omitempty"`
	// RetryAfterSeconds is when to come again. Absent when that won't help.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

const problemTypePrefix = "urn:oleandershunt:problem:"

func newProblem(status int, reason, detail string) *Problem {
	return &Problem{
		Type:      problemTypePrefix + reason,
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    detail,
		Execution: request.NotRun,
		Reason:    reason,
	}
}

func problemUnauthorized(detail string) *Problem {
	return newProblem(http.StatusUnauthorized, "unauthorized", detail)
}

func problemBadRequest(detail string) *Problem {
	return newProblem(http.StatusBadRequest, "bad_request", detail)
}

// ofRepeat is the problem as it is told of a request that may have been sent
// before: the same request can have been served before a record was changed, or
// while its body arrived whole.
func (p *Problem) ofRepeat(header http.Header) *Problem {
	if _, given, problem := readKey(header); given && problem == nil {
		p.Execution = request.MayHaveRun
	}
	return p
}

// refusalTexts gives each of the core's reasons its status and remedy.
var refusalTexts = map[request.Reason]struct {
	status int
	detail string
}{
	request.ReasonNoConfiguration: {http.StatusServiceUnavailable, "this VM has no configuration yet: try again after Retry-After"},
	request.ReasonUnknownPipeline: {http.StatusNotFound, "no such pipeline: GET /v1/models lists those you may call"},
	request.ReasonNoPath:          {http.StatusServiceUnavailable, "no living backend servers cover the model: try again after Retry-After"},
	request.ReasonAttempts:        {http.StatusBadGateway, "several backend servers failed in turn: try again after Retry-After"},
	request.ReasonNotRepeatable:   {http.StatusBadGateway, "the backend server failed and the request may not be repeated: find out whether it took effect before sending it again"},
	request.ReasonDeadline:        {http.StatusGatewayTimeout, "the deadline passed: allow more time or send less"},
	request.ReasonRetryBudget:     {http.StatusServiceUnavailable, "many attempts are failing and no more may be repeated now: try again after Retry-After"},
	request.ReasonRateLimited:     {http.StatusTooManyRequests, "the account is above its rate: send fewer, and this one again after Retry-After"},
	request.ReasonOverloaded:      {http.StatusServiceUnavailable, "the request could not start before its deadline: try again after Retry-After"},
	request.ReasonPoison:          {http.StatusUnprocessableEntity, "this body crashed the backend servers that ran it: don't send it again, report it to your operator"},
	request.ReasonKeyRunning:      {http.StatusConflict, "a request with this Idempotency-Key is being run: wait for its answer"},
	request.ReasonKeyRan:          {http.StatusConflict, "a request with this Idempotency-Key ran to its end: use its result, or a new key for a new request"},
	request.ReasonKeyMayHaveRun:   {http.StatusConflict, "a request with this Idempotency-Key may have run: find out whether it took effect before using a new key"},
	request.ReasonBodyDiffers:     {http.StatusUnprocessableEntity, "the Idempotency-Key was used with another body: use a new key"},
	request.ReasonClaimUndecided:  {http.StatusServiceUnavailable, "it can't be decided now whether this Idempotency-Key ran before: try again after Retry-After with the same key"},
	request.ReasonClaimExpired:    {http.StatusServiceUnavailable, "the permission to run the request lapsed before its use: try again after Retry-After with the same key"},
}

// sameKeyReasons are the reasons which tell of may_have_run only for an earlier
// sending under the caller's key, and whose remedy doesn't name the key.
var sameKeyReasons = []request.Reason{request.ReasonNoConfiguration, request.ReasonRateLimited, request.ReasonOverloaded}

const sameKeyDetail = ", under the same Idempotency-Key, as an earlier sending under it may have run"

func problemFromRefusal(refuse core.Refuse) *Problem {
	text := refusalTexts[refuse.Reason]
	problem := newProblem(text.status, string(refuse.Reason), text.detail)
	problem.Execution = refuse.Execution
	if problem.Execution == request.MayHaveRun && slices.Contains(sameKeyReasons, refuse.Reason) {
		problem.Detail += sameKeyDetail
	}
	problem.Request = string(refuse.Request)
	problem.RetryAfterSeconds = int(math.Ceil(refuse.RetryAfter.Seconds()))
	return problem
}

func problemShutdown(id request.ID, execution request.Execution) *Problem {
	problem := newProblem(http.StatusServiceUnavailable, "shutting_down", "this VM is stopping: try again")
	problem.Request = string(id)
	problem.Execution = execution
	problem.RetryAfterSeconds = int(time.Second.Seconds())
	return problem
}

func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
