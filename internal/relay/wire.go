// Package relay forwards opaque requests to backend servers and their answers
// back, unchanged. It attempts, repeats and resumes; which server or path an
// attempt takes is chosen by internal/core/backends, and how messages are
// written on the wire by a Wire.
package relay

import (
	"context"
	"net/http"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/chain"
)

// Call is what a caller's request says of itself.
type Call struct {
	// ID is the caller's own name of the request.
	ID string
	// Key is the caller's key. Empty when it has none.
	Key string
	// Wait is how long the caller waits. 0 when it doesn't say.
	Wait time.Duration
	// Prompt, Answer and Hint are lengths in tokens, set when a model is asked for:
	// what is read, the most that is written, and the caller's own estimate of that.
	Prompt, Answer, Hint int
	// After is the ID of the last event that the caller has. Empty for all.
	After string
}

// Attempt is what a backend server is told beside the caller's own words.
type Attempt struct {
	// Left is how long the caller still waits. 0 when it doesn't say.
	Left time.Duration
	// Server is the process that must take it.
	Server string
	// Account is the client account. Empty when the request had no key.
	Account string
	// Path is set for requests to a model.
	Path chain.Path
	// Priority is 0 for the most urgent requests.
	Priority int
	// After is the ID of the last event that was delivered. Empty for all.
	After string
}

// Answer is what the head of a backend server's answer says.
type Answer struct {
	// ID is the request that it answers.
	ID string
	// NotRun says that the server did not run the request and won't.
	NotRun bool
	// Signed says that the server vouches for the answer.
	Signed bool
	// Blame is the address of the server on the path that is at fault. Empty
	// when it is the first one, or unknown.
	Blame string
	// Signals are what the server asks of this VM, whatever became of the request.
	Signals backpressure.Signals
}

// Wire translates messages. It decides nothing.
type Wire interface {
	// Read takes the head of a caller's request apart.
	Read(*http.Request) Call
	// Write sets the headers of an attempt on those of the caller.
	Write(http.Header, Attempt)
	// Answer reads the head of a backend server's answer.
	Answer(*http.Response) Answer
}

// Report is what a model server says of itself.
type Report struct {
	// Orders counts the orders that it took since it started.
	Orders uint64
	// Started is when it started, in Unix milliseconds. 0 where it doesn't say.
	Started uint64
	// Busy says that an order is being carried out.
	Busy bool
	// Layers is the range held. Empty when it holds none.
	Layers api.Layers
	// Stalled gives, by request, the address of the server that it waits for.
	Stalled map[string]string
	// Queued is the number of requests that wait for their turn.
	Queued int
	// Pace is how many times as long as usual the server takes. 0 when it doesn't say.
	Pace float64
	// Signals are what the server asks of this VM, also where the report can't be had.
	Signals backpressure.Signals
}

// Order tells a model server which layers to hold.
type Order struct {
	// Orders is the count of orders that the server must have taken so far.
	Orders uint64
	Layers api.Layers
}

// Engines talks to model servers beside the requests. What a server asks of this VM is returned
// with an error, too.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	// Place gives an order. A nil error means that it is carried out, or was.
	Place(ctx context.Context, address, server string, order Order) (backpressure.Signals, error)
	// Repath moves a running request to another path that begins with the same
	// part. The new parts read what the request has so far; the others keep it.
	Repath(ctx context.Context, address, server, request string, path chain.Path) (backpressure.Signals, error)
}
