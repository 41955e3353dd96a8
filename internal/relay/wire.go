// Package relay forwards requests to backend servers and their responses back, unchanged and
// without interpreting them. It makes attempts, retries requests and resumes streams.
// internal/core/backends chooses the server or path of each attempt, and a Wire reads and
// writes the protocol's headers.
package relay

import (
	"context"
	"net/http"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/chain"
)

// Call holds the headers of a caller's request.
type Call struct {
	// ID is the request ID set by the caller.
	ID string
	// Key is the caller's API key. Empty if it has none.
	Key string
	// Timeout is the caller's timeout. 0 if it sets none.
	Timeout time.Duration
	// PromptTokens, MaxTokens and EstimatedTokens are lengths in tokens of a request to a model: the prompt, the
	// maximum of the response, and the caller's own estimate of the response.
	PromptTokens, MaxTokens, EstimatedTokens int
	// LastEventID is the ID of the last event that the caller has received. Empty for all events.
	LastEventID string
	// SharedParts are the IDs of the parts of the prompt, in order, without the last one, which
	// belongs to the request itself. Other requests have them too.
	SharedParts []uint64
}

// Attempt holds the headers that are added to a request for a backend server.
type Attempt struct {
	// Timeout is the remaining time of the caller. 0 if it set no timeout.
	Timeout time.Duration
	// Server is the name of the server process that must take the request.
	Server string
	// Account is the client account. Empty if the request had no key.
	Account string
	// Path is set for requests to a model.
	Path chain.Path
	// Priority is 0 for the most urgent requests.
	Priority int
	// LastEventID is the ID of the last delivered event. Empty for all events.
	LastEventID string
}

// ResponseInfo holds the head of a backend server's response.
type ResponseInfo struct {
	// ID is the ID of the request that it responds to.
	ID string
	// NotRun says that the server did not run the request and won't.
	NotRun bool
	// Signed says that the response carries the server's seal.
	Signed bool
	// FaultyAddress is the address of the faulty server on the path. Empty if it is the first one, or
	// unknown.
	FaultyAddress string
	// Signals are what the server asks of this VM, regardless of the request's outcome.
	Signals backpressure.Signals
}

// Wire translates between HTTP headers and the types of this package. It makes no decisions.
type Wire interface {
	// Read reads the head of a caller's request.
	Read(*http.Request) Call
	// Write adds the headers of an attempt to those of the caller.
	Write(http.Header, Attempt)
	// ReadResponse reads the head of a backend server's response.
	ReadResponse(*http.Response) ResponseInfo
}

// Report is the status that a model server reports.
type Report struct {
	// OrderCount is the number of orders that the server has accepted since it started.
	OrderCount uint64
	// Started is when the server process started, in Unix milliseconds. 0 if unknown.
	Started uint64
	// Busy says that an order is in progress.
	Busy bool
	// Layers is the range of layers loaded. Empty if there is none.
	Layers api.Layers
	// Stalled maps the ID of each stalled request to the address of the server that it waits
	// for.
	Stalled map[string]string
	// Queued is the number of queued requests.
	Queued int
	// Pace is the slowdown factor: 2 means twice the usual time. 0 if unknown.
	Pace float64
	// Signals are what the server asks of this VM. They are set even if the report could not be
	// fetched.
	Signals backpressure.Signals
}

// Order instructs a model server which layers to load.
type Order struct {
	// ExpectedOrderCount is the number of orders that the server must have accepted so far.
	ExpectedOrderCount uint64
	Layers             api.Layers
}

// Engines is the control interface of model servers. Its methods return the server's signals
// even with an error.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	// Place sends an order. A nil error means that the order is or was carried out.
	Place(ctx context.Context, address, server string, order Order) (backpressure.Signals, error)
	// Repath moves a running request to another path that begins with the same part. Servers
	// new on the path read the request's state so far; the others keep it.
	Repath(ctx context.Context, address, server, request string, path chain.Path) (backpressure.Signals, error)
}
