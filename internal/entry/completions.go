package entry

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// Defaults for fields that a pipeline record leaves out.
const (
	defaultDeadline  = 120 * time.Second
	defaultMaxTokens = 1024
)

// bytesPerToken is used to estimate a prompt's length in tokens from its size.
const bytesPerToken = 4

func (s *Server) serveCompletions(w http.ResponseWriter, r *http.Request) {
	s.serveCompletion(w, r, false)
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, true) }

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	set := s.set.Load()
	parsed, problem := s.readRequest(w, r, set)
	if problem != nil {
		s.reject(w, problem)
		return
	}
	body, err := parseCompletion(parsed.body, chat)
	if err != nil {
		s.reject(w, problemBadRequest(err.Error()))
		return
	}
	pipeline, problem := findPipeline(set, parsed.account, body.model)
	if problem != nil {
		s.reject(w, problem.forRepeat(r.Header))
		return
	}
	id := request.ID(uuid.NewString())
	arrived := core.RequestArrived{
		Request:      id,
		Account:      parsed.account,
		Pipeline:     body.model,
		Idempotent:   pipeline.Idempotent && !parsed.options.nonIdempotent,
		Key:          parsed.options.key,
		KeyGiven:     parsed.options.keyGiven,
		BodyHash:     bodyHash(r, parsed.body),
		Priority:     parsed.options.priority,
		PromptTokens: len(body.prompt) / bytesPerToken,
		PrefixHashes: engine.PrefixBlocks(body.prompt),
		MaxTokens:    maxTokens(pipeline, body.maxTokens),
	}
	setIdentity(w, arrived)
	s.serve(r, arrived, shorter(deadline(pipeline), parsed.options.timeout, body.timeout), &completion{
		server:   s,
		arrived:  arrived,
		body:     body,
		response: newResponseWriter(w, id, body, s.limits.WriteTime),
	})
}

// setIdentity sends the caller the request ID, by which the request can be
// looked up, and the idempotency key, by which it can be retried.
func setIdentity(w http.ResponseWriter, arrived core.RequestArrived) {
	w.Header().Set(headerRequestID, string(arrived.Request))
	w.Header().Set(headerIdempotencyKey, arrived.Key)
}

func deadline(spec api.PipelineSpec) time.Duration {
	if spec.DeadlineSeconds > 0 {
		return time.Duration(spec.DeadlineSeconds) * time.Second
	}
	return defaultDeadline
}

func maxTokens(spec api.PipelineSpec, requested int) int {
	limit := spec.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if requested == 0 {
		return limit
	}
	return min(requested, limit)
}
