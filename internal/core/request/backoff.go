package request

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// immediateRetries is the number of consecutive attempts without progress
	// after which the next attempt is still immediate, so that a stream that
	// loses a stage resumes without delay.
	immediateRetries = 1
)

// Backoff returns the delay before the next attempt: none after one attempt
// without progress, then exponential. It has a jitter of half the delay up or
// down, derived from the request ID, so that requests that failed together are
// not retried together.
func (r *Request) Backoff() time.Duration {
	if r.FailuresWithoutProgress <= immediateRetries {
		return 0
	}
	wait := minBackoff << min(r.FailuresWithoutProgress-immediateRetries-1, 5)
	wait = min(wait, maxBackoff)
	return wait/2 + time.Duration(xxhash.Sum64String(string(r.ID))%uint64(wait))
}
