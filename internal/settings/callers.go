package settings

import "time"

// Callers bounds what one caller can make a VM hold.
type Callers struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64 `toml:"body_bytes" unit:"bytes" range:"1024..67108864"`
	// BodyTime bounds the reading of a body.
	BodyTime time.Duration `toml:"body_time" unit:"duration" range:"100ms..10m"`
	// HeaderBytes bounds a request's headers.
	HeaderBytes int `toml:"header_bytes" unit:"bytes" range:"1024..1048576"`
	// HeaderTime bounds the reading of the headers.
	HeaderTime time.Duration `toml:"header_time" unit:"duration" range:"100ms..10m"`
	// WriteTime is how long a caller may take none of its answer before it is given
	// up.
	WriteTime time.Duration `toml:"write_time" unit:"duration" range:"100ms..10m"`
}

// Engines says how soon a fault of an engine is found.
type Engines struct {
	// ConnectTime bounds the making of a connection.
	ConnectTime time.Duration `toml:"connect_time" unit:"duration" range:"10ms..1m"`
	// SilenceFloor is the shortest silence between tokens that is looked into, however
	// quick the server is.
	SilenceFloor time.Duration `toml:"silence_floor" unit:"duration" range:"10ms..1m"`
	// FirstToken is the longest time to a first token while every stage of the path
	// answers.
	FirstToken time.Duration `toml:"first_token" unit:"duration" range:"100ms..10m"`
	// ProbeTime is how long a stage of a silent path has to answer.
	ProbeTime time.Duration `toml:"probe_time" unit:"duration" range:"10ms..1m"`
}

// Tracing says where spans go.
type Tracing struct {
	// Endpoint is the URL of an OTLP/HTTP collector, for example
	// "http://127.0.0.1:4318/v1/traces". Empty exports nothing.
	Endpoint string `toml:"endpoint" unit:"URL"`
	// Share is the share of requests traced when the caller doesn't say.
	Share float64 `toml:"share" unit:"share" range:"0..1"`
}

// The defaults of Callers, Engines and Tracing.
const (
	defaultTraceShare = 0.01
	defaultBody       = 1 << 20
	defaultHeader     = 32 << 10
	defaultConnect    = 500 * time.Millisecond
	defaultFloor      = 250 * time.Millisecond
	defaultWrite      = 10 * time.Second
	defaultBodyTime   = 15 * time.Second
	defaultHeaderTime = 5 * time.Second
	defaultFirstToken = 10 * time.Second
	defaultProbeTime  = 250 * time.Millisecond
)

func defaultCallers() Callers {
	return Callers{
		BodyBytes: defaultBody, BodyTime: defaultBodyTime,
		HeaderBytes: defaultHeader, HeaderTime: defaultHeaderTime, WriteTime: defaultWrite,
	}
}

func defaultEngines() Engines {
	return Engines{ConnectTime: defaultConnect, SilenceFloor: defaultFloor, FirstToken: defaultFirstToken, ProbeTime: defaultProbeTime}
}

func defaultTracing() Tracing { return Tracing{Share: defaultTraceShare} }
