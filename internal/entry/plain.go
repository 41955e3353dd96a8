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

// copyBytes is the piece in which a large answer is passed on.
const copyBytes = 32 << 10

// hopHeaders are the headers that concern one connection and are not passed on
// (RFC 9110, 7.6.1). Expect is among them: the body has been read here, and a
// service which waits to be asked for it would only add a doubt about what ran.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	set := s.set.Load()
	name, ok := matchRoute(set, r)
	if !ok {
		problem := newProblem(http.StatusNotFound, "no_route", "no route record matches host, path and method: check the address")
		s.reject(w, problem.ofRepeat(r.Header))
		return
	}
	call, problem := s.readCall(w, r, set)
	if problem != nil {
		s.reject(w, problem)
		return
	}
	route := set.Routes[name]
	arrived := core.RequestArrived{
		Request:    request.ID(uuid.NewString()),
		Account:    call.account,
		Route:      name,
		Idempotent: route.Idempotent && !call.marks.nonIdempotent,
		Key:        call.marks.key,
		KeyGiven:   call.marks.keyGiven,
		BodyHash:   bodyHash(r, call.body),
		Priority:   call.marks.priority,
	}
	setIdentity(w, arrived)
	s.serve(r, arrived, shorter(routeTimeout(route), call.marks.timeout), &plainCall{
		server: s,
		w:      w,
		call:   serviceCall(r, call.body, arrived),
	})
}

func routeTimeout(route api.RouteSpec) time.Duration {
	if route.TimeoutSeconds > 0 {
		return time.Duration(route.TimeoutSeconds) * time.Second
	}
	return defaultRouteTimeout
}

// plainCall is a request for a plain service.
type plainCall struct {
	server *Server
	w      http.ResponseWriter
	call   service.Call
}

func (p *plainCall) refuse(problem *Problem) { problem.write(p.w) }

func (p *plainCall) attempt(ctx context.Context, dispatch core.Dispatch) attemptResult {
	ctx, endSpan := startAttemptSpan(ctx, dispatch)
	call := p.call
	call.Address = dispatch.Path[0].Address
	call.Header = p.call.Header.Clone()
	result := p.pass(ctx, call, dispatch.Path[0].Server)
	endSpan(result)
	return result
}

func (p *plainCall) pass(ctx context.Context, call service.Call, server string) attemptResult {
	answer, err := p.server.plain.Do(ctx, call)
	switch {
	case errors.Is(err, service.ErrNotStarted):
		return brokenAttempt(ctx, request.ProvenNotRun, server)
	case err != nil:
		return brokenAttempt(ctx, request.Lost, server)
	}
	p.head(answer)
	if answer.Rest == nil {
		// The call ran to its end, even if the caller can't take the answer.
		_ = p.write(answer.Start)
		return attemptResult{outcome: request.Completed}
	}
	defer answer.Rest.Close()
	return p.stream(ctx, answer, server)
}

func (p *plainCall) head(answer service.Answer) {
	header := p.w.Header()
	for name, values := range answer.Header {
		if !slices.Contains(hopHeaders, name) {
			header[name] = values
		}
	}
	p.w.WriteHeader(answer.Status)
}

// write sends bytes to the caller, who has the write time to take them.
func (p *plainCall) write(data []byte) error {
	control := http.NewResponseController(p.w)
	if err := control.SetWriteDeadline(time.Now().Add(p.server.limits.WriteTime)); err != nil {
		return err
	}
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if _, err := p.w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// stream passes a large answer on as it comes. When the service fails in the
// midst of it the caller's connection is cut: the missing end of the length or
// of the chunks tells the caller that the answer isn't whole.
func (p *plainCall) stream(ctx context.Context, answer service.Answer, server string) attemptResult {
	if p.write(answer.Start) != nil {
		return attemptResult{outcome: request.Interrupted, final: true}
	}
	piece := make([]byte, copyBytes)
	for {
		n, err := answer.Rest.Read(piece)
		if n > 0 && p.write(piece[:n]) != nil {
			return attemptResult{outcome: request.Interrupted, final: true}
		}
		if errors.Is(err, io.EOF) {
			return attemptResult{outcome: request.Completed}
		}
		if err != nil {
			result := brokenAttempt(ctx, request.Interrupted, server)
			result.final, result.cut = true, true
			return result
		}
	}
}

// serviceCall is the caller's request as it goes to the service: without the
// API key, and with the key by which the service can tell repeats.
func serviceCall(r *http.Request, body []byte, arrived core.RequestArrived) service.Call {
	header := r.Header.Clone()
	for _, named := range r.Header.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
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
