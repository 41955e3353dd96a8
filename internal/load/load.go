// Package load offers requests to an address at a rate, whatever the answers'
// pace, verifies every answer and measures what a caller sees.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Verifier tells whether an answer is right.
type Verifier interface {
	// Verify returns an error for a wrong text.
	Verify(prompt, text string, maxTokens int) error
}

// Options describe a run.
type Options struct {
	// Address is host:port of a VM, or several, used in turn.
	Addresses []string
	// Key is the API key.
	Key string
	// Pipeline is asked for completions.
	Pipeline string
	// Rate is the requests started a second.
	Rate float64
	// Duration is how long requests are started.
	Duration time.Duration
	// Tokens bounds each answer.
	Tokens int
	// Prompt is the start of each prompt, which a number makes unique.
	Prompt string
	// Seed starts the random times of arrival.
	Seed uint64
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxInFlight bounds the requests at once. Arrivals above it aren't sent,
	// and are counted, so that a run can't take the machine's memory.
	MaxInFlight int
	// Verifier checks the answers. Nil checks only that they are whole.
	Verifier Verifier
	// Ended is called with each request that was sent, when it has ended. It may
	// be called by several goroutines at once. Nil is none.
	Ended func(Stream)
}

// Stream is one request as its caller saw it.
type Stream struct {
	// Request is the id that the VM gave it. Empty when no VM answered.
	Request string
	// Kind is the outcome, as Report.Requests counts it.
	Kind string
	// Tokens are the times at which tokens came.
	Tokens []time.Time
}

// ErrOptions marks options that can't be used.
var ErrOptions = eris.New("options of the load can't be used: correct them")

func (o Options) validate() error {
	switch {
	case len(o.Addresses) == 0:
		return eris.Wrap(ErrOptions, "no address")
	case o.Rate <= 0 || o.Duration <= 0 || o.Tokens <= 0 || o.Timeout <= 0 || o.MaxInFlight <= 0:
		return eris.Wrap(ErrOptions, "rate, duration, tokens, timeout and the bound in flight must be positive")
	default:
		return nil
	}
}

// runner holds a run's state.
type runner struct {
	options Options
	client  *http.Client
	mu      sync.Mutex
	result  *collector
}

// Run starts requests at random times (a Poisson process) at the rate for the
// duration, waits for their answers and reports. The arrivals don't wait for
// answers: a system that slows down is shown as slow, not asked for less.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.validate(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: options.MaxInFlight}
	defer transport.CloseIdleConnections()
	r := &runner{options: options, client: &http.Client{Transport: transport}, result: newCollector()}
	begun := time.Now()
	r.arrivals(ctx, begun)
	return r.result.report(time.Since(begun)), nil
}

func (r *runner) arrivals(ctx context.Context, begun time.Time) {
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	places := make(chan struct{}, r.options.MaxInFlight)
	var all sync.WaitGroup
	defer all.Wait()
	next := begun
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second)))
		if next.Sub(begun) > r.options.Duration || !sleepUntil(ctx, next) {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			r.note(outcome{kind: kindNotSent})
			continue
		}
		due := next
		all.Go(func() {
			defer func() { <-places }()
			got := r.request(ctx, n, due)
			r.note(got)
			if r.options.Ended != nil {
				r.options.Ended(Stream{Request: got.request, Kind: got.kind, Tokens: got.times})
			}
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) note(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(o)
}

func (r *runner) prompt(n int) string { return fmt.Sprintf("%s %d", r.options.Prompt, n) }
