package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/chain"
)

// Limits of fetching reports.
const (
	// reportTimeout bounds fetching a report, which normally takes one or two milliseconds.
	reportTimeout = 200 * time.Millisecond
	// maxStallReportAge is how old a report may be to tell which server a request waits for:
	// servers make a new one every 200 ms.
	maxStallReportAge = 150 * time.Millisecond
	// maxPaceReportAge is how old a report may be to tell a server's pace.
	maxPaceReportAge = time.Second
	// paceReportsPerSecond and paceReportBurst limit the fetches of reports for paces by one
	// VM, as each has a cost.
	paceReportsPerSecond = 8
	paceReportBurst      = 16
	// maxCachedReports bounds the number of cached reports.
	maxCachedReports = 1024
)

// reportCache fetches servers' reports. Streams that wait for the same server share one: many
// stall together, and each fetch has a cost. It is safe for concurrent use.
type reportCache struct {
	engines     Engines
	paceLimiter *rate.Limiter

	mu      sync.Mutex
	entries map[string]*cachedReport
}

// cachedReport is a report that was requested; ready is closed when it has arrived.
type cachedReport struct {
	requestedAt time.Time
	ready       chan struct{}
	report      Report
	err         error
}

func newReportCache(engines Engines) *reportCache {
	return &reportCache{engines: engines, paceLimiter: rate.NewLimiter(paceReportsPerSecond, paceReportBurst), entries: make(map[string]*cachedReport)}
}

// get returns a report that was requested no longer than age ago.
func (r *reportCache) get(ctx context.Context, address string, age time.Duration) (Report, error) {
	cached := r.fetch(address, age)
	select {
	case <-cached.ready:
		return cached.report, cached.err
	case <-ctx.Done():
		return Report{}, context.Cause(ctx)
	}
}

func (r *reportCache) fetch(address string, age time.Duration) *cachedReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cached, ok := r.entries[address]; ok && time.Since(cached.requestedAt) < age {
		return cached
	}
	if len(r.entries) >= maxCachedReports {
		clear(r.entries)
	}
	fresh := &cachedReport{requestedAt: time.Now(), ready: make(chan struct{})}
	r.entries[address] = fresh
	go func() {
		// The fetch is shared by several streams, so it isn't cancelled with one of them.
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		fresh.report, fresh.err = r.engines.Report(ctx, address)
		close(fresh.ready)
	}()
	return fresh
}

// refreshPaces fetches the paces of the servers on a path.
//
// What can go wrong: a server works at a quarter of its speed without reporting a problem to
// callers. All paths through it queue up there while others are idle. The symptom is late first
// events without any refusal; only the server's report shows the cause.
func (h *Handler) refreshPaces(path chain.Path) {
	for _, part := range path {
		if !h.Dispatcher.paceReportDue(part.ID) || !h.reports.paceLimiter.Allow() {
			continue
		}
		go h.refreshPace(part.ID, part.Address)
	}
}

func (h *Handler) refreshPace(id, address string) {
	report, err := h.reports.get(context.Background(), address, maxPaceReportAge)
	h.signals.Apply(ServerSignals{Server: id, Signals: report.Signals})
	if err != nil {
		// Unresponsive servers are found by the streams that stall on them.
		return
	}
	h.Dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.SetPace(now, id, report.Pace) })
}

// RunPaceRefresh refetches the paces of slow servers until ctx ends, so that they get requests again
// as soon as they have recovered.
func (h *Handler) RunPaceRefresh(ctx context.Context) error {
	ticker := time.NewTicker(maxPaceReportAge / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, server := range h.Dispatcher.slowServersDue() {
				go h.refreshPace(server.ID, server.Address)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
