// Package backpressure handles the signals with which backend servers throttle a VM in their
// answers: request rates, pauses and departure. It tracks until when each server wants no
// requests. It does no I/O and reads no clock; it is not safe for concurrent use.
package backpressure

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// Signals are the backpressure signals in the header of a server's answer. The zero value is an
// answer without any.
type Signals struct {
	// Limited is set if the server sets a request rate. PerSecond is the number of requests per
	// second that it accepts from all VMs together, or NaN if the value can't be parsed.
	Limited   bool
	PerSecond float64
	// Pause is how long the server wants no requests from this VM: 0 if it asks for no pause,
	// InvalidPause if the value can't be parsed.
	Pause time.Duration
	// Leaving is set if the server is shutting down and must get no new requests.
	Leaving bool
}

// InvalidPause is the value of a pause that can't be parsed.
const InvalidPause time.Duration = -1

// Rate returns the number of requests per second that the server accepts: ratelimit.Unlimited if
// it sets no rate, NaN if the value can't be parsed.
func (s Signals) Rate() float64 {
	if !s.Limited {
		return ratelimit.Unlimited
	}
	return s.PerSecond
}
