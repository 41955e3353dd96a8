package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

// Policy is the algorithm that chooses paths.
type Policy string

// The policies. All but PolicyMaxFlow are baselines for comparison.
const (
	// PolicyMaxFlow samples paths in proportion to the maximum flow and takes the
	// least loaded of the sample.
	PolicyMaxFlow Policy = "max_flow"
	// PolicyLeastInFlight takes, stage by stage, the server with the fewest
	// streams in flight for its recorded capacity.
	PolicyLeastInFlight Policy = "least_in_flight"
	// PolicyRoundRobin takes the servers of a stage in turn.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyRandom takes a random server of each stage.
	PolicyRandom Policy = "random"
)

// Policies returns all policies, the default first.
func Policies() []Policy {
	return []Policy{PolicyMaxFlow, PolicyLeastInFlight, PolicyRoundRobin, PolicyRandom}
}

// Server is a backend server as the router sees it: its configuration record,
// with the fields that were observed taking precedence.
type Server struct {
	// Name is the record's name.
	Name string
	// Address is host:port.
	Address    string
	DataCentre string
	// Rack groups servers that fail together. Empty if unknown.
	Rack string
	// Model, Version and Layers are what a model engine has loaded. Empty for a
	// plain service.
	Model   string
	Version string
	Layers  api.Layers
	// Service is the name of the plain service that the server runs. Empty for a
	// model engine.
	Service string
	// TokensPerSecond is the initial estimate of the server's capacity: tokens
	// per second through all its layers at full batch, or calls per second of a
	// plain service. 0 if unknown. The estimate from finished streams replaces it.
	TokensPerSecond float64
	// Eligible is true if the server may get new requests.
	Eligible bool
	// Incarnation identifies the process that answers at the address. The load
	// and the caches of an earlier incarnation are discarded.
	Incarnation uint64
}

// Link is the network link from one data centre to another, in one direction.
type Link struct {
	From, To string
	// TokensPerSecond is the link's capacity, in tokens whose activations can
	// cross per second. 0 means that no limit is known.
	TokensPerSecond float64
	// Delay is the time that one token's activations take to cross.
	Delay time.Duration
	// Down is true if the link is down.
	Down bool
}

// Stage is the part of a path that one backend server runs.
type Stage struct {
	// Server is the record's name.
	Server string `json:"server"`
	// Address is host:port.
	Address string `json:"address"`
	// Layers is the range that the server runs, which may be a part of the range
	// that it has loaded. Empty for a plain service.
	Layers api.Layers `json:"layers,omitzero"`
	// Incarnation identifies the process that was known at the address when the
	// path was chosen. 0 if unknown.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Path lists the stages that run a request, in order. The stages of a model's
// path cover all its layers without gap or overlap.
type Path []Stage

// Has reports whether a server runs a stage of the path.
func (p Path) Has(server string) bool {
	return slices.ContainsFunc(p, func(s Stage) bool { return s.Server == server })
}

// Request holds what the choice of a path depends on.
type Request struct {
	// ID identifies the request, whose path counts as load on its servers until
	// Release is called with the same ID.
	ID string
	// Now is the time of the decision on the VM's clock.
	Now time.Duration
	// Model and Layers ask for a path that covers the layers [0, Layers) of the
	// model.
	Model  string
	Layers int
	// Version is the model version that every stage must have loaded. Empty
	// selects the version with the highest Bound.
	Version string
	// Service asks for an instance of a plain service instead of a model.
	Service string
	// Avoid lists servers to use only as a last resort: those that timed out or
	// were unreachable for this request, which the link may have caused.
	Avoid []string
	// Faulty lists servers that are proven faulty, such as by a bad receipt. They
	// are never used for this request.
	Faulty []string
	// Prefixes are the hashes of the prompt's prefixes, the shortest first, in
	// the form that engines use in their cache events.
	Prefixes []uint64
	// Priority above 0 samples more candidate paths, so that urgent requests get
	// less loaded servers.
	Priority int
	// Deadline is when the answer must be complete, on the VM's clock, and RemainingTokens
	// is the number of tokens still to be generated. 0 if unknown.
	Deadline        time.Duration
	RemainingTokens int
	// DeliveredTokens is the number of tokens that the caller has received already.
	DeliveredTokens int
}

// ErrNoPath means that no path exists for a request. NoPathError gives the
// missing layers.
var ErrNoPath = eris.New("no path: order a backend server to load the missing layers")

// NoPathError says which layers no eligible backend server has loaded.
type NoPathError struct {
	Model   string
	Version string
	Service string
	// Missing are the ranges without a usable server. Empty for a plain service.
	Missing []api.Layers
	// Excluded are the servers that were left out because they are proven faulty
	// for this request.
	Excluded []string
	// Disconnected is true if every layer is loaded somewhere, but links that are
	// down separate the data centres.
	Disconnected bool
}

// Error implements error.
func (e *NoPathError) Error() string {
	if e.Service != "" {
		return fmt.Sprintf("no eligible backend server runs service %q: add one, or end the drain of one", e.Service)
	}
	if e.Disconnected {
		return fmt.Sprintf("every layer of model %q version %q is held, but no open link joins the data centres that hold them: restore a link", e.Model, e.Version)
	}
	ranges := make([]string, 0, len(e.Missing))
	for _, missing := range e.Missing {
		ranges = append(ranges, missing.String())
	}
	text := fmt.Sprintf("no eligible backend server holds layers %s of model %q version %q: load them on one",
		strings.Join(ranges, ", "), e.Model, e.Version)
	if len(e.Excluded) > 0 {
		text += "; left out as faulty for this request: " + strings.Join(e.Excluded, ", ")
	}
	return text
}

// Unwrap makes errors.Is(err, ErrNoPath) true.
func (e *NoPathError) Unwrap() error { return ErrNoPath }
