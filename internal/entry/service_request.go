package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/service"
)

const defaultRouteTimeout = 30 * time.Second

// copyBufferBytes is the size of the buffer for copying a large response.
const copyBufferBytes = 32 << 10

// hopByHopHeaders concern one connection and are not forwarded (RFC 9110,
// 7.6.1). They include Expect: the body has been read already, and if a
// service waited to ask for it, a failure would leave one more case in which
// it is unclear whether the request ran.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	set := s.set.Load()
	name, ok := matchRoute(set, r)
	if !ok {
		problem := newProblem(http.StatusNotFound, "no_route", "no route record matches host, path and method: check the address")
		s.reject(w, problem.forRepeat(r.Header))
		return
	}
	parsed, problem := s.readRequest(w, r, set)
	if problem != nil {
		s.reject(w, problem)
		return
	}
	route := set.Routes[name]
	arrived := core.RequestArrived{
		Request:    request.ID(uuid.NewString()),
		Account:    parsed.account,
		Route:      name,
		Idempotent: route.Idempotent && !parsed.options.nonIdempotent,
		Key:        parsed.options.key,
		KeyGiven:   parsed.options.keyGiven,
		BodyHash:   bodyHash(r, parsed.body),
		Priority:   parsed.options.priority,
	}
	setIdentity(w, arrived)
	s.serve(r, arrived, shorter(routeTimeout(route), parsed.options.timeout), &serviceRequest{
		server: s,
		w:      w,
		call:   newServiceCall(r, parsed.body, arrived),
	})
}

func routeTimeout(route api.RouteSpec) time.Duration {
	if route.TimeoutSeconds > 0 {
		return time.Duration(route.TimeoutSeconds) * time.Second
	}
	return defaultRouteTimeout
}

// serviceRequest is a request for a service, in progress.
type serviceRequest struct {
	server *Server
	w      http.ResponseWriter
	call   service.Call
}

func (sr *serviceRequest) refuse(problem *Problem) { problem.write(sr.w) }

func (sr *serviceRequest) attempt(ctx context.Context, dispatch core.Dispatch) attemptResult {
	ctx, endSpan := startAttemptSpan(ctx, dispatch)
	call := sr.call
	call.Address = dispatch.Path[0].Address
	call.Header = sr.call.Header.Clone()
	result := sr.forward(ctx, call, dispatch.Path[0].Server)
	endSpan(result)
	return result
}

func (sr *serviceRequest) forward(ctx context.Context, call service.Call, server string) attemptResult {
	response, err := sr.server.services.Do(ctx, call)
	switch {
	case errors.Is(err, service.ErrNotStarted):
		return failedAttempt(ctx, request.ProvenNotRun, server)
	case err != nil:
		return failedAttempt(ctx, request.Lost, server)
	}
	sr.writeHeader(response)
	if response.Rest == nil {
		// The request ran to completion, even if the caller can't receive the
		// response.
		_ = sr.write(response.Start)
		return attemptResult{outcome: request.Completed}
	}
	defer response.Rest.Close()
	return sr.copyBody(ctx, response, server)
}

func (sr *serviceRequest) writeHeader(response service.Answer) {
	header := sr.w.Header()
	for name, values := range response.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			header[name] = values
		}
	}
	sr.w.WriteHeader(response.Status)
}

// write sends data to the caller, with WriteTime as timeout.
func (sr *serviceRequest) write(data []byte) error {
	control := http.NewResponseController(sr.w)
	if err := control.SetWriteDeadline(time.Now().Add(sr.server.limits.WriteTime)); err != nil {
		return err
	}
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if _, err := sr.w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// copyBody forwards a large response while it is being received. If the
// service fails midway, the caller's connection is closed: the missing bytes
// or the missing last chunk tell the caller that the response is truncated.
func (sr *serviceRequest) copyBody(ctx context.Context, response service.Answer, server string) attemptResult {
	if sr.write(response.Start) != nil {
		return attemptResult{outcome: request.Interrupted, final: true}
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Rest.Read(buffer)
		if n > 0 && sr.write(buffer[:n]) != nil {
			return attemptResult{outcome: request.Interrupted, final: true}
		}
		if errors.Is(err, io.EOF) {
			return attemptResult{outcome: request.Completed}
		}
		if err != nil {
			result := failedAttempt(ctx, request.Interrupted, server)
			result.final, result.abort = true, true
			return result
		}
	}
}

// newServiceCall returns the request to the service: without the API key, and
// with the idempotency key by which the service can recognise repeats.
func newServiceCall(r *http.Request, body []byte, arrived core.RequestArrived) service.Call {
	header := r.Header.Clone()
	for _, named := range r.Header.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Del("Authorization")
	header.Set(headerIdempotencyKey, arrived.Key)
	header.Set(headerRequestID, string(arrived.Request))
	return service.Call{
		Method:     r.Method,
		URI:        r.URL.RequestURI(),
		Host:       r.Host,
		Header:     header,
		Body:       body,
		Idempotent: arrived.Idempotent,
	}
}
