// Package explain answers operators' queries about how a request was handled. A
// query is an Explanation record. One of the VMs that accept records queries all
// VMs and writes the result, so that the other VMs don't need to watch for
// queries.
package explain

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/journal"
	"oleandershunt.example/oleandershunt/internal/peer"
	explainv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/explain/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/explain/v1/explainv1connect"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// queryTimeout bounds the query to one VM.
	queryTimeout = time.Second
	// maxConcurrentQueries bounds the VMs queried at the same time.
	maxConcurrentQueries = 32
	// pendingCapacity bounds the queue of unanswered queries.
	pendingCapacity = 64
)

// Options are the dependencies of an Explainer.
type Options struct {
	Log       logr.Logger
	Self      string
	Platform  *platform.Client
	Directory *peer.Directory
	Dialer    *peer.Dialer
	Journal   *journal.Journal
}

// Explainer answers queries about requests.
type Explainer struct {
	Options
}

// New returns an explainer.
func New(options Options) *Explainer { return &Explainer{Options: options} }

// Mount registers the handler by which other VMs query this VM's decisions.
func (e *Explainer) Mount(server *peer.Server) {
	server.Handle(explainv1connect.NewExplainServiceHandler(e))
}

// Steps implements ExplainService.
func (e *Explainer) Steps(_ context.Context, query *connect.Request[explainv1.StepsRequest]) (*connect.Response[explainv1.StepsResponse], error) {
	steps := e.localSteps(query.Msg.GetRequest())
	if len(steps) == 0 {
		return connect.NewResponse(&explainv1.StepsResponse{}), nil
	}
	data, err := json.Marshal(steps)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&explainv1.StepsResponse{Steps: data}), nil
}

// localSteps returns the decisions that this VM recorded for a request.
func (e *Explainer) localSteps(id string) []api.ExplanationStep {
	notes := e.Journal.Of(request.ID(id))
	steps := make([]api.ExplanationStep, 0, len(notes))
	for _, note := range notes {
		steps = append(steps, explanationStep(note, note.At-notes[0].At))
	}
	return steps
}

func explanationStep(note core.Note, after time.Duration) api.ExplanationStep {
	return api.ExplanationStep{
		Millis:    after.Milliseconds(),
		Step:      string(note.Step),
		Attempt:   note.Attempt,
		Servers:   note.Servers,
		Reason:    string(note.Reason),
		Execution: string(note.Execution),
		Outcome:   string(note.Outcome),
		Tokens:    note.Tokens,
		Text:      note.Text,
	}
}

// Run watches for queries and answers them until ctx ends.
func (e *Explainer) Run(ctx context.Context) {
	pending := make(chan platform.Object, pendingCapacity)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Platform.Follow(ctx, string(api.KindExplanation), "", pendingSink{ctx: ctx, pending: pending})
	}()
	defer func() { <-done }()
	for {
		select {
		case object := <-pending:
			if err := e.answer(ctx, object); err != nil && ctx.Err() == nil {
				telemetry.RequestNotExplained.Fail(e.Log, err, "request", object.Name)
			}
		case <-ctx.Done():
			return
		}
	}
}

// answer queries every VM and writes the result. Another VM that answers the same
// query concurrently finds the same steps, so the first write wins and a conflict
// is not an error.
func (e *Explainer) answer(ctx context.Context, object platform.Object) error {
	var explanation api.Explanation
	if err := json.Unmarshal(object.Value, &explanation); err != nil || explanation.State != api.ExplanationAsked {
		return err
	}
	explanation.Request = object.Name
	explanation.State = api.ExplanationUnknown
	for _, result := range e.queryAll(ctx, object.Name) {
		switch {
		case result.err != nil:
			explanation.Silent = append(explanation.Silent, result.vm)
		case len(result.steps) > 0:
			explanation.State = api.ExplanationFound
			explanation.VM = result.vm
			explanation.Steps = result.steps
		}
	}
	_, err := e.Platform.Update(ctx, object.Kind, object.Name, object.Version, explanation)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

// vmResult is the result of the query to one VM.
type vmResult struct {
	vm    string
	steps []api.ExplanationStep
	err   error
}

func (e *Explainer) queryAll(ctx context.Context, id string) []vmResult {
	members := e.Directory.Members()
	results := make([]vmResult, len(members))
	slots := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, member := range members {
		slots <- struct{}{}
		group.Go(func() {
			steps, err := e.queryVM(ctx, member.Name, id)
			results[i] = vmResult{vm: member.Name, steps: steps, err: err}
			<-slots
		})
	}
	group.Wait()
	return results
}

func (e *Explainer) queryVM(ctx context.Context, vm, id string) ([]api.ExplanationStep, error) {
	if vm == e.Self {
		return e.localSteps(id), nil
	}
	http, url, err := e.Dialer.Endpoint(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	client := explainv1connect.NewExplainServiceClient(http, url)
	response, err := client.Steps(ctx, connect.NewRequest(&explainv1.StepsRequest{Request: id}))
	if err != nil || len(response.Msg.GetSteps()) == 0 {
		return nil, err
	}
	var steps []api.ExplanationStep
	return steps, json.Unmarshal(response.Msg.GetSteps(), &steps)
}

// pendingSink sends the watched queries to the pending channel.
type pendingSink struct {
	ctx     context.Context
	pending chan<- platform.Object
}

// Listed implements platform.Sink.
func (s pendingSink) Listed(list platform.List) error {
	for _, object := range list.Items {
		s.enqueue(object)
	}
	return nil
}

// Watched implements platform.Sink.
func (s pendingSink) Watched(event platform.WatchEvent) error {
	if !event.Bookmark && !event.Deleted {
		s.enqueue(event.Object)
	}
	return nil
}

// Broken implements platform.Sink.
func (pendingSink) Broken(error) {}

func (s pendingSink) enqueue(object platform.Object) {
	select {
	case s.pending <- object:
	case <-s.ctx.Done():
	}
}
