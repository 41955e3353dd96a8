package relay

import (
	"math/rand/v2"
	"time"
)

// minReconnectDelay and maxReconnectDelay bound the Retry-After of a saturated VM, which is drawn at random so that
// refused callers don't return together. They connect again, and most reach another VM.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 250 * time.Millisecond
	// maxReconnectShare bounds it as a share of the caller's timeout. Callers ignore a longer one.
	maxReconnectShare = 1.0 / 3
)

// refuseSaturated refuses a new request while the VM is saturated.
func (h *Handler) refuseSaturated(x *exchange) *refusal {
	if h.Saturated == nil {
		return nil
	}
	detail, saturated := h.Saturated()
	if !saturated {
		return nil
	}
	x.detail = detail
	return notRunRefusal(ReasonBusy, reconnectDelay(x.call.Timeout))
}

// reconnectDelay returns the Retry-After for a caller with the given timeout, 0 if it set none.
func reconnectDelay(timeout time.Duration) time.Duration {
	delay := minReconnectDelay + rand.N(maxReconnectDelay-minReconnectDelay)
	if timeout > 0 {
		delay = min(delay, time.Duration(maxReconnectShare*float64(timeout)))
	}
	return delay.Round(time.Millisecond)
}
