package backends

import "time"

// SaidRate takes the rate that a server set in its answer to a request that was sent at a
// moment. It returns whether that is news.
func (f *Fleet) SaidRate(now, sent time.Duration, id string, perSecond float64) bool {
	if _, ok := f.servers[id]; !ok {
		return false
	}
	return f.limits.Said(now, sent, id, perSecond)
}

// Limited tells whether a server sets a rate.
func (f *Fleet) Limited(id string) bool { return f.limits.Word(id).Limited() }
