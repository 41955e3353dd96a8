package standin

import (
	"bytes"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ServiceFaults are the ways in which a plain service misbehaves. The zero value is none.
type ServiceFaults struct {
	// CloseAfterRun runs each call and then closes its connection without an answer.
	CloseAfterRun bool `json:"closeAfterRun,omitempty"`
	// CutAnswer sends half of each answer and closes the connection.
	CutAnswer bool `json:"cutAnswer,omitempty"`
	// SlowMillis is waited before each answer, after the run.
	SlowMillis int `json:"slowMillis,omitempty"`
	// AnswerBytes pads each answer to a size.
	AnswerBytes int `json:"answerBytes,omitempty"`
	// Status is answered in place of 200.
	Status int `json:"status,omitempty"`
}

// ServiceCounts is what a plain service truly did.
type ServiceCounts struct {
	// ByKey counts the runs by the request's Idempotency-Key.
	ByKey map[string]int `json:"byKey"`
	// ByRequest counts the runs by the Request-Id that the router gave.
	ByRequest map[string]int `json:"byRequest"`
	// Runs is their sum.
	Runs int `json:"runs"`
	// Connections counts the connections that were opened.
	Connections int `json:"connections"`
	// Expected counts the calls that came with an Expect header.
	Expected int `json:"expected"`
}

// Service is a plain service. It counts each run of a request by its
// Idempotency-Key, so that a test can tell what truly ran.
type Service struct {
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	counts ServiceCounts
	faults ServiceFaults
}

// StartService serves on the listener.
func StartService(listener net.Listener) *Service {
	s := &Service{listener: listener, counts: ServiceCounts{ByKey: make(map[string]int), ByRequest: make(map[string]int)}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	mux.HandleFunc("PUT "+pathFaults, func(w http.ResponseWriter, r *http.Request) { serveFaults(w, r, s.SetFaults) })
	mux.HandleFunc("DELETE "+pathFaults, func(http.ResponseWriter, *http.Request) { s.SetFaults(ServiceFaults{}) })
	mux.HandleFunc("/", s.serve)
	s.server = &http.Server{Handler: mux, ConnState: s.noteConnection}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Address is the service's host:port.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Kill ends the service at once. The server closes its listener only once Serve runs, and until then
// the kernel accepts connections, so the listener is closed too.
func (s *Service) Kill() {
	_ = s.listener.Close()
	_ = s.server.Close()
}

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts is what the service truly did so far.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.counts
	now.ByKey, now.ByRequest = maps.Clone(now.ByKey), maps.Clone(now.ByRequest)
	return now
}

// Runs is how often the request with the given key ran.
func (s *Service) Runs(key string) int { return s.Counts().ByKey[key] }

func (s *Service) noteConnection(_ net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Connections++
}

// run counts a call and returns the faults to apply to it.
func (s *Service) run(r *http.Request) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.ByKey[r.Header.Get("Idempotency-Key")]++
	s.counts.ByRequest[r.Header.Get("Request-Id")]++
	s.counts.Runs++
	if r.Header.Get("Expect") != "" {
		s.counts.Expected++
	}
	return s.faults
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := s.run(r)
	if faults.SlowMillis > 0 && pause(r.Context(), time.Duration(faults.SlowMillis)*time.Millisecond) != nil {
		return
	}
	if faults.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	answer := serviceAnswer(r, body, faults.AnswerBytes)
	if faults.CutAnswer {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func serviceAnswer(r *http.Request, body []byte, size int) []byte {
	var answer bytes.Buffer
	answer.WriteString(r.Method + " " + r.URL.Path + " took ")
	answer.Write(body)
	answer.WriteByte('\n')
	if missing := size - answer.Len(); missing > 0 {
		answer.WriteString(strings.Repeat("x", missing))
	}
	return answer.Bytes()
}
