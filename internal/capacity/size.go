package capacity

import "oleandershunt.example/oleandershunt/internal/settings"

// Size is how much there is of what the slopes are per, and what it may cost.
type Size struct {
	VMs, DataCentres, Accounts float64
	RequestsPerSecond          float64
	TokensPerSecond            float64
	ChangesPerDay              float64
	SecondsBetweenTokens       float64
	NonIdempotentShare         float64
	ShardsPerDataCentre        float64
	PlatformWrites             float64
	PlatformReads              float64
	ControlBytesPerSecond      float64
	ControlMegabytes           float64
	ControlCoreShare           float64
}

const secondsPerDay = 86400

// Ahead is the size that the users expect within two years. The share of
// non-idempotent requests is this project's assumption: the users gave none.
func Ahead() Size {
	return Size{
		VMs: 820, DataCentres: 13, Accounts: 31_000,
		RequestsPerSecond:     67_000,
		TokensPerSecond:       18e6,
		ChangesPerDay:         8_100,
		SecondsBetweenTokens:  0.078,
		NonIdempotentShare:    0.1,
		ShardsPerDataCentre:   float64(settings.Default().Claims.ShardsPerDataCentre),
		PlatformWrites:        300,
		PlatformReads:         2_000,
		ControlBytesPerSecond: 14 << 10,
		ControlMegabytes:      32,
		ControlCoreShare:      0.012,
	}
}

// VMsHere is the VMs of one data centre.
func (s Size) VMsHere() float64 { return s.VMs / s.DataCentres }

// RequestsPerVM is the requests that one VM takes each second at the peak.
func (s Size) RequestsPerVM() float64 { return s.RequestsPerSecond / s.VMs }

// TokensPerVM is the tokens that one VM relays each second at the peak.
func (s Size) TokensPerVM() float64 { return s.TokensPerSecond / s.VMs }

// StreamsPerVM is the streams that one VM holds when each makes a token every
// SecondsBetweenTokens.
func (s Size) StreamsPerVM() float64 { return s.TokensPerVM() * s.SecondsBetweenTokens }

// ChangesPerSecond is the accepted changes a second on an ordinary day.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// Shards is the shards of claims of all data centres.
func (s Size) Shards() float64 { return s.ShardsPerDataCentre * s.DataCentres }
