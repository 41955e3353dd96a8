package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

// checkRequests is middleware that rejects HTTP/1.0 and oversized headers
// before any handler runs.
func (s *Server) checkRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" && !r.ProtoAtLeast(1, 1) {
			// HTTP/1.0 marks the end of a stream by closing the connection, so a
			// caller couldn't tell a complete response from a truncated one.
			s.reject(w, newProblem(http.StatusHTTPVersionNotSupported, "http_version", "HTTP/1.0 is not served: use HTTP/1.1 or later"))
			return
		}
		if problem := s.checkHeaders(r.Header); problem != nil {
			s.reject(w, problem)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) checkHeaders(header http.Header) *Problem {
	count := 0
	size := 0
	for name, values := range header {
		for _, value := range values {
			count++
			size += len(name) + len(value)
		}
	}
	if count <= maxHeaders && size <= s.limits.HeaderBytes {
		return nil
	}
	detail := fmt.Sprintf("%d headers of %d bytes: send at most %d of %d bytes", count, size, maxHeaders, s.limits.HeaderBytes)
	return newProblem(http.StatusRequestHeaderFieldsTooLarge, "headers_too_large", detail)
}

// reject refuses a request that hasn't been passed to the core.
func (s *Server) reject(w http.ResponseWriter, problem *Problem) {
	countRefusal(problem)
	problem.write(w)
}

func wrongMethod(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", allowed)
		problem := newProblem(http.StatusMethodNotAllowed, "method_not_allowed", "wrong method: use "+allowed)
		countRefusal(problem)
		problem.write(w)
	}
}

// callerRequest is what all requests of callers have in common.
type callerRequest struct {
	account string
	options headerOptions
	body    []byte
}

// readRequest authenticates the request, and then reads its header options and
// its body: the body of an unauthenticated request is never read.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, set *config.Set) (callerRequest, *Problem) {
	account, problem := authenticate(set, r)
	if problem != nil {
		return callerRequest{}, problem
	}
	options, problem := readHeaderOptions(r.Header)
	if problem != nil {
		return callerRequest{}, problem
	}
	body, problem := s.readBody(w, r)
	return callerRequest{account: account, options: options, body: body}, problem
}

// authenticate returns the client account that the request's API key belongs
// to.
func authenticate(set *config.Set, r *http.Request) (string, *Problem) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", problemUnauthorized("no API key: send it as Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := set.AccountByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return "", problemUnauthorized("unknown API key: check the key with your operator")
	}
	return account, nil
}

// mayCall reports whether an account may call a pipeline.
func mayCall(account api.ClientAccountSpec, pipeline string) bool {
	return len(account.Pipelines) == 0 || slices.Contains(account.Pipelines, pipeline)
}

// findPipeline returns a pipeline that the account may call.
func findPipeline(set *config.Set, account, name string) (api.PipelineSpec, *Problem) {
	pipeline, ok := set.Pipelines[name]
	if !ok {
		return pipeline, newProblem(http.StatusNotFound, "unknown_pipeline", "no such model: GET /v1/models lists those you may call")
	}
	if spec, _ := set.Account(account); !mayCall(spec, name) {
		return pipeline, newProblem(http.StatusForbidden, "foreign_pipeline", "the account may not call this model: GET /v1/models lists those you may call")
	}
	return pipeline, nil
}

// readBody reads the request's body, limited by BodyBytes and BodyTime.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.limits.BodyTime))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := fmt.Sprintf("body is larger than %d bytes: send less", tooLarge.Limit)
		return nil, newProblem(http.StatusRequestEntityTooLarge, "body_too_large", detail)
	}
	if err != nil {
		problem := newProblem(http.StatusRequestTimeout, "body_incomplete", "body did not arrive whole: send it again")
		return nil, problem.forRepeat(r.Header)
	}
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}
