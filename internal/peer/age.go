package peer

import "time"

// maxAge limits an age reported by another VM. If it overflowed, the report would
// appear to come from the future and never become stale.
const maxAge = 24 * time.Hour

// Age converts an age in microseconds, as reported by another VM, to a duration of
// at most 24 hours.
func Age(micros uint64) time.Duration {
	return time.Duration(min(micros, uint64(maxAge/time.Microsecond))) * time.Microsecond
}
