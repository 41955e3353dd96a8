// Package bootclock is a monotonic clock that includes the time in which the VM was
// suspended, and that is unaffected by changes of the wall clock.
//
// A VM that was suspended for ten seconds would consider its state fresh by
// CLOCK_MONOTONIC, which stops during suspension, and would accept API keys that were
// revoked meanwhile. CLOCK_BOOTTIME continues to advance.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted. The system call does not fail on any
// supported system. Now panics if it does, because no lease or freshness check could be
// trusted without a clock.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(now.Nano())
}
