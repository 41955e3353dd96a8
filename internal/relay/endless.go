package relay

import (
	"errors"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// errEndless marks a response that is longer than any that is allowed, and may have no end.
var errEndless = errors.New("response doesn't end")

// headTooLong is in the text of the error of net/http for a head beyond its limit, which has no type.
const headTooLong = "response headers exceeded"

// avoidEndless keeps new requests off a server whose response, or its head, was longer than allowed. What
// comes is no answer, and reading it takes time and the link from others.
func (h *Handler) avoidEndless(o *openAttempt, err error) {
	if err == nil || !errors.Is(err, errEndless) && !strings.Contains(err.Error(), headTooLong) {
		return
	}
	metrics.GetOrCreateCounter("oleandershunt_relay_endless_responses_total").Inc()
	h.Dispatcher.suspect(o.choice.First.ID, suspectEndless)
}
