package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oleandershunt.example/oleandershunt/internal/engine"
)

// The control paths, which tests of real processes use to cause faults and to
// read what truly ran. They answer while the engine is stalled.
const (
	pathControl = "/standin/"
	pathFaults  = "/standin/faults"
	pathCounts  = "/standin/counts"
	pathCrash   = "/standin/crash"
)

// EngineCounts is what an engine truly did, over all its incarnations. It is
// the truth against which tests hold the router's words.
type EngineCounts struct {
	Server string `json:"server"`
	// ByRequest and ByKey count how often the engine, as first stage, started
	// work on a request, by its id and by its idempotency key.
	ByRequest map[string]int `json:"byRequest"`
	ByKey     map[string]int `json:"byKey"`
	// Started is the sum of ByRequest.
	Started    int `json:"started"`
	TokensMade int `json:"tokensMade"`
	// Running is the attempts and stages in progress.
	Running int `json:"running"`
	// StepTime is the sum of the times that the steps should have taken, and
	// BusyTime of those that they took, in their places of the batch. A machine
	// that wakes late makes the second larger: the engine is slower than it says.
	StepTime time.Duration `json:"stepTime"`
	BusyTime time.Duration `json:"busyTime"`
	// Cancelled counts the cancel calls, those for attempts that had ended
	// included. Broken counts the attempts that ended because their caller left.
	Cancelled int `json:"cancelled"`
	Broken    int `json:"broken"`
	Crashes   int `json:"crashes"`
	// Orders lists the orders taken on, and StaleOrders counts those among them
	// that carried an old fencing number.
	Orders      []engine.Order `json:"orders,omitempty"`
	StaleOrders int            `json:"staleOrders"`
}

type counts struct {
	made atomic.Int64
	// step and busy are StepTime and BusyTime in nanoseconds.
	step, busy atomic.Int64

	mu     sync.Mutex
	counts EngineCounts
}

func (c *counts) began(attempt engine.AttemptRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts.ByRequest == nil {
		c.counts.ByRequest = make(map[string]int)
		c.counts.ByKey = make(map[string]int)
	}
	c.counts.Started++
	c.counts.ByRequest[attempt.Request]++
	if attempt.Key != "" {
		c.counts.ByKey[attempt.Key]++
	}
}

// stepped counts a step that should have taken one time and took another.
func (c *counts) stepped(should, took time.Duration) {
	c.step.Add(int64(should))
	c.busy.Add(int64(took))
}

func (c *counts) broken(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		c.counts.Broken++
	}
}

func (c *counts) cancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Cancelled++
}

func (c *counts) crashed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Crashes++
}

func (c *counts) ordered(order engine.Order, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Orders = append(c.counts.Orders, order)
	if stale {
		c.counts.StaleOrders++
	}
}

// Counts is what the engine truly did so far.
func (e *Engine) Counts() EngineCounts {
	e.counts.mu.Lock()
	defer e.counts.mu.Unlock()
	now := e.counts.counts
	now.Server = e.options.Server
	now.ByRequest = maps.Clone(now.ByRequest)
	now.ByKey = maps.Clone(now.ByKey)
	now.Orders = append([]engine.Order(nil), now.Orders...)
	now.TokensMade = e.TokensMade()
	now.StepTime = time.Duration(e.counts.step.Load())
	now.BusyTime = time.Duration(e.counts.busy.Load())
	now.Running = int(e.current().running.Load())
	return now
}

// Executions is how often the engine, as first stage, started work on a request.
func (e *Engine) Executions(request string) int { return e.Counts().ByRequest[request] }

// TokensMade is how many tokens the engine has sent as first stage.
func (e *Engine) TokensMade() int { return int(e.counts.made.Load()) }

// control adds the control paths.
func (e *Engine) control(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	mux.HandleFunc("PUT "+pathFaults, func(w http.ResponseWriter, r *http.Request) {
		serveFaults(w, r, e.SetFaults)
	})
	mux.HandleFunc("DELETE "+pathFaults, func(http.ResponseWriter, *http.Request) { e.Recover() })
	mux.HandleFunc("POST "+pathCrash, func(http.ResponseWriter, *http.Request) { e.crash() })
}

// serveFaults reads faults strictly: a misspelt one would make a test pass
// without its failure.
func serveFaults[F any](w http.ResponseWriter, r *http.Request, set func(F)) {
	var faults F
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "body is not faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	set(faults)
}
