package entry

import (
	"context"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/route"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/schedclock"
)

// probeFresh is how long the answer to a probe is used by other streams.
const probeFresh = 50 * time.Millisecond

// prober asks servers whether they live. Streams that fall silent together ask
// each server once: a thousand probes would be the last straw for a server
// which is only slow, and be taken for its death.
type prober struct {
	engines engine.Client
	clock   *schedclock.Clock
	limit   time.Duration

	mu     sync.Mutex
	probes map[string]*probe
}

// probe is one question to a server, open until done is closed.
type probe struct {
	done chan struct{}
	// begun is when it was asked, by the prober's clock.
	begun    time.Duration
	answered bool
	age      time.Duration
}

func newProber(engines engine.Client, clock *schedclock.Clock, limit time.Duration) *prober {
	return &prober{engines: engines, clock: clock, limit: limit, probes: make(map[string]*probe)}
}

// ask returns the answer to a question that is open or fresh, or asks a new one.
func (p *prober) ask(address string) *probe {
	p.mu.Lock()
	known := p.probes[address]
	if known == nil {
		known = &probe{done: make(chan struct{}), begun: p.clock.Now()}
		p.probes[address] = known
		go p.run(address, known)
	}
	p.mu.Unlock()
	<-known.done
	return known
}

func (p *prober) run(address string, asked *probe) {
	ctx, cancel := p.clock.WithTimeout(context.Background(), p.limit)
	defer cancel()
	capabilities, err := p.engines.Capabilities(ctx, address)
	asked.answered = err == nil
	asked.age = time.Duration(capabilities.OldestStepMillis) * time.Millisecond
	close(asked.done)
	time.AfterFunc(probeFresh, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.probes, address)
	})
}

// pathFindings is what the stages of a silent path answered.
type pathFindings struct {
	// unanswered is the first stage that said nothing.
	unanswered string
	// stuck is the stage with the oldest unfinished step of its own, and age
	// that step's.
	stuck string
	age   time.Duration
	// heard says that a stage which didn't answer gave tokens meanwhile.
	heard bool
}

// path asks every stage of a path at once. A stage that proved a token of any
// stream since it was asked is alive whatever became of the question: an engine
// short of processor time serves its streams and answers late.
func (p *prober) path(path route.Path, heard []*heard) pathFindings {
	answers := make([]*probe, len(path))
	var all sync.WaitGroup
	for i, stage := range path {
		all.Go(func() { answers[i] = p.ask(stage.Address) })
	}
	all.Wait()
	var findings pathFindings
	for i, stage := range path {
		switch {
		case answers[i].answered:
		case heard[i].since(answers[i].begun):
			findings.heard = true
		case findings.unanswered == "":
			findings.unanswered = stage.Server
		}
		if answers[i].age > findings.age {
			findings.age = answers[i].age
			findings.stuck = stage.Server
		}
	}
	return findings
}
