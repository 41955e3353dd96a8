package entry

import (
	"sync"
	"sync/atomic"

	"oleandershunt.example/oleandershunt/internal/core/config"
)

// tokenCounters counts the tokens delivered to callers, per pipeline. Each
// token is counted when it is sent: counting at the end of a response would
// give bursts where responses are long.
type tokenCounters struct {
	mu     sync.Mutex
	counts map[string]*atomic.Uint64
}

func newTokenCounters() *tokenCounters {
	return &tokenCounters{counts: make(map[string]*atomic.Uint64)}
}

// counter returns the counter of a pipeline.
func (c *tokenCounters) counter(pipeline string) *atomic.Uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, ok := c.counts[pipeline]
	if !ok {
		count = new(atomic.Uint64)
		c.counts[pipeline] = count
	}
	return count
}

// prune deletes the counters of pipelines that are no longer configured.
func (c *tokenCounters) prune(set *config.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pipeline := range c.counts {
		if _, ok := set.Pipelines[pipeline]; !ok {
			delete(c.counts, pipeline)
		}
	}
}

// Delivered returns the number of tokens delivered to callers so far, per
// pipeline.
func (s *Server) Delivered() map[string]uint64 {
	s.tokenCounters.mu.Lock()
	defer s.tokenCounters.mu.Unlock()
	counts := make(map[string]uint64, len(s.tokenCounters.counts))
	for pipeline, count := range s.tokenCounters.counts {
		counts[pipeline] = count.Load()
	}
	return counts
}
