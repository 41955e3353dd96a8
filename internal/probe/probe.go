// Package probe checks the health of backend servers at a bounded rate.
package probe

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/schedclock"
)

// Target is a backend server to probe.
type Target struct {
	Name    string
	Address string
	// Service marks a plain service. A probe of it checks only that it accepts a
	// TCP connection.
	Service bool
	// Rare lowers the probe rate. It is set for a server that another VM is
	// responsible for and that is probed here only because some VM could not
	// reach it.
	Rare bool
}

// Result is the outcome of one probe.
type Result struct {
	Target Target
	// Capabilities is what the engine reported. It is zero for a plain service.
	Capabilities engine.Capabilities
	// Err is nil if the server answered.
	Err error
	// Refused is true if the connection was refused.
	Refused bool
	// Misplaced is true if a different server answered at the address.
	Misplaced bool
}

// Engines reads the capabilities of a model engine: what it has loaded and how
// busy it is.
type Engines interface {
	Capabilities(ctx context.Context, address string) (engine.Capabilities, error)
}

// Options are the settings of a prober.
type Options struct {
	Engines Engines
	// Clock measures Timeout. It may be nil.
	Clock *schedclock.Clock
	// Interval is the time between two probes of a target. Timeout bounds one
	// probe.
	Interval time.Duration
	Timeout  time.Duration
	// MaxPerSecond bounds the rate of all probes together. The interval grows with
	// the number of targets to stay below it.
	MaxPerSecond int
	// Report receives each result. It is called from several goroutines.
	Report func(Result)
}

const (
	// lowRateFactor is the number of intervals between two probes of a target with
	// Rare set.
	lowRateFactor = 4
	// urgentCapacity bounds the queue of targets to probe immediately. Further
	// targets wait for their regular interval.
	urgentCapacity = 256
	// maxInFlight bounds the concurrent probes. An unresponsive server occupies a
	// slot until the timeout.
	maxInFlight = 16
	// urgentMinInterval is the shortest time between two probes of a target, so
	// that repeated calls of Now don't probe it continuously.
	urgentMinInterval = 200 * time.Millisecond
)

// Prober probes targets periodically. It is safe for concurrent use.
type Prober struct {
	options Options
	urgent  chan string
	changed chan struct{}
	slots   chan struct{}

	mu      sync.Mutex
	targets map[string]*targetState
}

type targetState struct {
	target  Target
	due     time.Time
	last    time.Time
	running bool
}

// New returns a prober without targets.
func New(options Options) *Prober {
	return &Prober{
		options: options,
		urgent:  make(chan string, urgentCapacity),
		changed: make(chan struct{}, 1),
		slots:   make(chan struct{}, maxInFlight),
		targets: make(map[string]*targetState),
	}
}

// SetTargets replaces the targets. Targets that remain keep their schedule.
func (p *Prober) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*targetState, len(targets))
	now := time.Now()
	for i, target := range targets {
		s, ok := p.targets[target.Name]
		if !ok {
			// New targets are spread evenly over the interval.
			s = &targetState{due: now.Add(p.interval(len(targets)) * time.Duration(i) / time.Duration(len(targets)))}
		}
		s.target = target
		next[target.Name] = s
	}
	p.targets = next
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Now schedules an immediate probe of the target with this name. Unknown names
// are ignored.
func (p *Prober) Now(name string) {
	select {
	case p.urgent <- name:
	default:
	}
}

// Run probes the targets until ctx ends and returns its error.
func (p *Prober) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.changed:
		case name := <-p.urgent:
			p.expedite(name)
		case <-ctx.Done():
			return ctx.Err()
		}
		timer.Reset(p.startDue(ctx))
	}
}

// expedite brings a target's next probe forward.
func (p *Prober) expedite(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.targets[name]; ok {
		s.due = s.last.Add(urgentMinInterval)
	}
}

// startDue starts the probes that are due and returns the time until the next
// one.
func (p *Prober) startDue(ctx context.Context) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	interval := p.interval(len(p.targets))
	wait := interval
	for _, s := range p.targets {
		if remaining := s.due.Sub(now); remaining > 0 || s.running {
			if !s.running {
				wait = min(wait, remaining)
			}
			continue
		}
		select {
		case p.slots <- struct{}{}:
		default:
			return time.Second / time.Duration(p.options.MaxPerSecond)
		}
		s.running, s.last, s.due = true, now, now.Add(interval)
		if s.target.Rare {
			s.due = now.Add(lowRateFactor * interval)
		}
		go p.probe(ctx, s, s.target)
	}
	return max(wait, time.Millisecond)
}

// interval returns the time between two probes of a target: the configured one,
// or longer where MaxPerSecond would be exceeded.
func (p *Prober) interval(targets int) time.Duration {
	return max(p.options.Interval, time.Duration(targets)*time.Second/time.Duration(p.options.MaxPerSecond))
}

func (p *Prober) probe(ctx context.Context, s *targetState, target Target) {
	defer func() {
		p.mu.Lock()
		s.running = false
		p.mu.Unlock()
		<-p.slots
	}()
	probeCtx, cancel := p.options.Clock.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	result := p.check(probeCtx, target)
	if ctx.Err() == nil {
		p.options.Report(result)
	}
}

func (p *Prober) check(ctx context.Context, target Target) Result {
	result := Result{Target: target}
	if target.Service {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", target.Address)
		if err == nil {
			_ = conn.Close()
		}
		result.Err = err
	} else {
		result.Capabilities, result.Err = p.options.Engines.Capabilities(ctx, target.Address)
		result.Misplaced = result.Err == nil && result.Capabilities.Server != target.Name
	}
	result.Refused = errors.Is(result.Err, syscall.ECONNREFUSED)
	return result
}
