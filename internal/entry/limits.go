package entry

import "time"

// Limits bound the resources that one caller can use on a VM, and the time to
// detect a fault.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// BodyTime is the timeout for reading the body.
	BodyTime time.Duration
	// HeaderBytes bounds the total size of a request's headers.
	HeaderBytes int
	// HeaderTime is the timeout for reading the headers.
	HeaderTime time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// StreamsPerConnection bounds the concurrent requests on one HTTP/2
	// connection.
	StreamsPerConnection int
	// WriteTime is how long a write to the caller may block.
	WriteTime time.Duration
	// TokenSilence and SilenceFloor are the upper and lower bound of the stall
	// timeout: the time without a token after which the stages of a stream's
	// path are probed. Between them, the timeout is learned from the servers'
	// gaps between tokens.
	TokenSilence time.Duration
	SilenceFloor time.Duration
	// FirstToken is the maximum time to an attempt's first token while every
	// stage of its path answers probes. Prefill takes long; how long is learned.
	FirstToken time.Duration
	// ProbeTime is the timeout of a probe to a stage of a stalled path.
	ProbeTime time.Duration
}

// Limits that can't be configured.
const (
	maxHeaders           = 100
	netHTTPHeaderFactor  = 2
	maxKeyBytes          = 255
	maxConcurrentCancels = 64
	cancelTimeout        = 2 * time.Second
	// deadlineGrace is how long after a request's deadline the core may take to
	// end the request.
	deadlineGrace = time.Second
)

// DefaultLimits returns the limits that apply without settings.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:            1 << 20,
		BodyTime:             15 * time.Second,
		HeaderBytes:          32 << 10,
		HeaderTime:           5 * time.Second,
		IdleTimeout:          2 * time.Minute,
		StreamsPerConnection: 250,
		WriteTime:            10 * time.Second,
		TokenSilence:         700 * time.Millisecond,
		SilenceFloor:         250 * time.Millisecond,
		FirstToken:           10 * time.Second,
		ProbeTime:            250 * time.Millisecond,
	}
}
