// Package backpressure is what backend servers ask of a VM in their answers, and until when
// they want none of its requests. It does no I/O and reads no clock; its methods must not be
// called at the same time.
package backpressure

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// Signals are what the head of a server's answer asks of the VM that it goes to. The zero value
// asks for nothing.
type Signals struct {
	// Limited says that the server sets a request rate, and PerSecond the requests a second
	// that it takes from all VMs together: NaN where that can't be read.
	Limited   bool
	PerSecond float64
	// Pause is for how long the server wants no requests of this VM: 0 where it asks for no
	// pause, Unread where that can't be read.
	Pause time.Duration
	// Leaving says that the server leaves, and is to get nothing new.
	Leaving bool
}

// Unread is a pause that can't be read.
const Unread time.Duration = -1

// Rate is the requests a second that the server takes: ratelimit.Unlimited where it sets no rate,
// NaN where that can't be read.
func (s Signals) Rate() float64 {
	if !s.Limited {
		return ratelimit.Unlimited
	}
	return s.PerSecond
}
