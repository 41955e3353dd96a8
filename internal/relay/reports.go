package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/chain"
)

// The figures of reports.
const (
	// reportTimeout bounds the question for a report. The answer takes a millisecond
	// or two.
	reportTimeout = 200 * time.Millisecond
	// stallAge is how old a report may be that tells what requests wait for: servers
	// make a new one every 200 ms.
	stallAge = 150 * time.Millisecond
	// paceAge is how old a report may be that tells a server's pace.
	paceAge = time.Second
	// pacesPerSecond and paceBurst bound the questions for paces of one VM; each is
	// paid for.
	pacesPerSecond = 8
	paceBurst      = 16
	// reportsKept bounds the reports that are kept.
	reportsKept = 1024
)

// reports asks servers for their reports. Streams that wait for the same server
// share one: many fall silent together, and each question is paid for. It is safe for
// concurrent use.
type reports struct {
	engines Engines
	paces   *rate.Limiter

	mu  sync.Mutex
	all map[string]*reported
}

// reported is a report that was asked for; ready is closed when it is there.
type reported struct {
	asked  time.Time
	ready  chan struct{}
	report Report
	err    error
}

func newReports(engines Engines) *reports {
	return &reports{engines: engines, paces: rate.NewLimiter(pacesPerSecond, paceBurst), all: make(map[string]*reported)}
}

// get returns a report that was asked for no longer ago than age.
func (r *reports) get(ctx context.Context, address string, age time.Duration) (Report, error) {
	asked := r.ask(address, age)
	select {
	case <-asked.ready:
		return asked.report, asked.err
	case <-ctx.Done():
		return Report{}, context.Cause(ctx)
	}
}

func (r *reports) ask(address string, age time.Duration) *reported {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.all[address]; ok && time.Since(known.asked) < age {
		return known
	}
	if len(r.all) >= reportsKept {
		clear(r.all)
	}
	asked := &reported{asked: time.Now(), ready: make(chan struct{})}
	r.all[address] = asked
	go func() {
		// It is not one stream's question, so it doesn't end with one.
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		asked.report, asked.err = r.engines.Report(ctx, address)
		close(asked.ready)
	}()
	return asked
}

// learnPaces asks the servers of a path how fast they are.
//
// What can go wrong: a server works at a quarter of its speed and says nothing. All
// paths through it queue up there, while others idle. One notices first events that
// are late without any refusal. Only its report tells.
func (h *Handler) learnPaces(path chain.Path) {
	for _, part := range path {
		if !h.Dispatcher.paceDue(part.ID) || !h.reports.paces.Allow() {
			continue
		}
		go h.learnPace(part.ID, part.Address)
	}
}

func (h *Handler) learnPace(id, address string) {
	report, err := h.reports.get(context.Background(), address, paceAge)
	h.signals.Take(Said{Server: id, Signals: report.Signals})
	if err != nil {
		// What doesn't answer is found by the streams that stall on it.
		return
	}
	h.Dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Paced(now, id, report.Pace) })
}

// RunPaces asks slow servers again until ctx ends, so that they are used as soon as
// they are as fast as before.
func (h *Handler) RunPaces(ctx context.Context) error {
	ticker := time.NewTicker(paceAge / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, server := range h.Dispatcher.slowDue() {
				go h.learnPace(server.ID, server.Address)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
