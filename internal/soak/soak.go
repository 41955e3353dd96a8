package soak

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// ErrNotServing marks a run whose deployment did not begin to serve.
var ErrNotServing = eris.New("no stream was served after the start: read the VMs' logs in the folder")

// Options are what a run is made of.
type Options struct {
	// Program is the product's binary, and Folder where settings and logs go.
	Program, Folder string
	Seed            uint64
	// VMs is how many there are, and For how long faults last.
	VMs int
	For time.Duration
}

// The times of a run.
const (
	// startWithin bounds the time until the deployment serves.
	startWithin = time.Minute
	// measured is how long the load runs before the faults, and again after them.
	measured = 4 * time.Second
	// restartAfter is how long an ended process stays away.
	restartAfter = 500 * time.Millisecond
	// settle is how long VMs are idle before it is seen what they hold: kept connections of
	// answers that were just made are closed by then.
	settle = 3 * time.Second
	// servesOn is how long a leaving server serves after it said so.
	servesOn = 4 * time.Second
	// slowStore is the time of a call while the store is slow.
	slowStore = 150 * time.Millisecond
)

// bounds are those of the deployment.
var bounds = standin.Bounds{
	DrainWithin: 2 * time.Second, ApplyWithin: 2 * time.Second, Contact: 3 * time.Second, Grace: 8 * time.Second,
	RepeatRatio: 0.02, RepeatSlack: 5, RepeatWindow: 10 * time.Second,
}

// Run plays a seed.
func Run(ctx context.Context, options Options) (Report, error) {
	w, err := newWorld(options)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	for _, v := range w.vms {
		if err := v.start(bounds, w.endedItself); err != nil {
			return Report{}, err
		}
	}
	if err := w.awaitServing(ctx); err != nil {
		return Report{}, err
	}
	plan := Plan(options.Seed, options.For)
	before := w.play(ctx, nil)
	held := w.usages()
	w.play(ctx, plan)
	if err := sleep(ctx, bounds.Contact); err != nil {
		return Report{}, err
	}
	after := w.play(ctx, nil)
	now := w.usages()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.errs) > 0 {
		return Report{}, w.errs[0]
	}
	return w.report(plan, before, after, held, now)
}

func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// play runs the load beside faults, and a moment longer. It returns the part of requests
// that were served.
func (w *world) play(ctx context.Context, plan []Fault) float64 {
	from := len(w.callers.done())
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.callers.run(ctx, w.version)
	}()
	begun := time.Now()
	for _, fault := range plan {
		if sleep(ctx, time.Until(begun.Add(fault.At))) != nil {
			break
		}
		w.wait.Add(1)
		go func() {
			defer w.wait.Done()
			if err := w.cause(fault); err != nil {
				w.fail(eris.Wrap(err, fault.String()))
			}
		}()
	}
	w.wait.Wait()
	_ = sleep(ctx, measured)
	cancel()
	<-ended
	served, owed := 0, 0
	for _, r := range w.callers.done()[from:] {
		if r.version == 0 && r.left.IsZero() {
			owed++
			if r.whole {
				served++
			}
		}
	}
	if owed == 0 {
		return 0
	}
	return float64(served) / float64(owed)
}
