package trace

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// DefaultRecordingBytes bounds a recording without settings.
const DefaultRecordingBytes = 8 << 20

// fieldKeys is the field of a client account's spec, in every schema version,
// that holds the hashes of its API keys.
const fieldKeys = "keySHA256"

// Recorder keeps the newest lines of one or more VMs within a bound on bytes.
// It is safe for concurrent use.
type Recorder struct {
	limit  int
	origin time.Time

	mu      sync.Mutex
	vms     []VM
	hashes  map[string]*xxhash.Digest
	lines   []recorded
	bytes   int
	dropped int
	// state holds the newest dropped line for each lasting fact, since without
	// a configuration or the servers' states no later decision can be replayed.
	state      map[string]recorded
	stateOrder []string
}

// recorded is one line in its encoded form.
type recorded struct {
	text []byte
	// key names the lasting fact that the line tells. Empty for one that tells none.
	key string
}

// NewRecorder makes a recorder that keeps at most about limit bytes, besides
// the newest line for each lasting fact. 0 takes the default.
func NewRecorder(limit int) *Recorder {
	if limit <= 0 {
		limit = DefaultRecordingBytes
	}
	return &Recorder{
		limit:  limit,
		origin: time.Now(),
		hashes: make(map[string]*xxhash.Digest),
		state:  make(map[string]recorded),
	}
}

// Tap records one VM.
type Tap struct {
	recorder *Recorder
	vm       string
	hash     *xxhash.Digest
}

// Tap adds a VM whose clock shows now. A name that is known already is a new
// process that has taken over the name.
func (r *Recorder) Tap(name string, options core.Options, now core.Time) *Tap {
	r.mu.Lock()
	defer r.mu.Unlock()
	offset := time.Since(r.origin) - now
	hash, known := r.hashes[name]
	if known {
		r.add(line{Restart: &Restart{VM: name, Offset: offset}}, "")
	} else {
		hash = xxhash.New()
		r.hashes[name] = hash
		r.vms = append(r.vms, VM{Name: name, Offset: offset, Options: options})
	}
	return &Tap{recorder: r, vm: name, hash: hash}
}

// Step records an event and what the core decided on it. It is called by the
// goroutine that steps the core, after the step and before its actions are
// carried out, so that no answer to an action can be recorded before it.
func (t *Tap) Step(now core.Time, event core.Event, actions []core.Action) {
	body, err := eventBody(event)
	if err != nil {
		// The registry's test proves that every event has a JSON form.
		panic(fmt.Sprintf("trace: event %s has no JSON form: %v", event.EventName(), err))
	}
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	for _, action := range actions {
		hashAction(t.hash, now, action)
	}
	recordedEvent := Event{VM: t.vm, At: now, Name: event.EventName(), Body: body}
	t.recorder.add(line{Event: &recordedEvent}, stateKey(t.vm, event))
}

// Frame records a frame as it came on an attempt's stream, without its text:
// the tokens' identifiers suffice for every check.
func (t *Tap) Frame(now core.Time, id request.ID, attempt int, frame engine.Frame) {
	if frame.Token != nil {
		token := *frame.Token
		token.Text = ""
		frame.Token = &token
	}
	recordedFrame := Frame{VM: t.vm, At: now, Request: id, Attempt: attempt, Frame: frame}
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	t.recorder.add(line{Frame: &recordedFrame}, "")
}

// eventBody is an event's JSON form without what no decision needs and no file
// should hold: the hashes of API keys.
func eventBody(event core.Event) (json.RawMessage, error) {
	body, err := json.Marshal(event)
	if err != nil {
		return nil, err
	}
	if _, ok := event.(core.ConfigInForce); !ok {
		return body, nil
	}
	return withoutKeys(body)
}

// withoutKeys takes the key hashes out of the client accounts of a configuration.
func withoutKeys(body []byte) (json.RawMessage, error) {
	var event struct {
		Set struct {
			Release uint64           `json:"release"`
			Records []api.PageRecord `json:"records"`
		} `json:"set"`
	}
	if err := json.Unmarshal(body, &event); err != nil {
		return nil, err
	}
	for i, record := range event.Set.Records {
		var document api.Document
		if err := json.Unmarshal(record.Document, &document); err != nil {
			return nil, err
		}
		if document.Kind != api.KindClientAccount {
			continue
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(document.Spec, &fields); err != nil {
			return nil, err
		}
		fields[fieldKeys] = json.RawMessage("[]")
		spec, err := json.Marshal(fields)
		if err != nil {
			return nil, err
		}
		document.Spec = spec
		if event.Set.Records[i].Document, err = json.Marshal(document); err != nil {
			return nil, err
		}
	}
	return json.Marshal(event)
}

// stateKey names the lasting fact that an event tells; empty when it concerns
// one request or one moment only.
func stateKey(vm string, event core.Event) string {
	name := vm + "/" + event.EventName()
	switch e := event.(type) {
	case core.RequestArrived, core.AttemptEnded, core.CallerDisconnected, core.ClaimDecided, core.Tick, core.FleetTick:
		return ""
	case core.ServerObserved:
		return name + "/" + e.Server + "/" + e.Witness
	case core.ServerProbeFailed:
		return name + "/" + e.Server + "/" + e.Witness
	case core.ServerProbingStopped:
		return name + "/" + e.Server
	case core.ServerOpinion:
		return name + "/" + e.Opinion.Server + "/" + e.Witness
	case core.WitnessRemoved:
		return name + "/" + e.Witness
	case core.PoisonFindingReceived:
		return fmt.Sprintf("%s/%s/%s/%x", name, e.Finding.Account, e.Finding.Pipeline, e.Finding.BodyHash)
	default:
		return name
	}
}

// add must be called with the lock held.
func (r *Recorder) add(l line, key string) {
	text := encodeLine(l)
	r.lines = append(r.lines, recorded{text: text, key: key})
	r.bytes += len(text)
	for r.bytes > r.limit && len(r.lines) > 1 {
		r.evict()
	}
}

// evict drops the oldest line, but remembers a lasting fact.
func (r *Recorder) evict() {
	oldest := r.lines[0]
	r.lines = r.lines[1:]
	r.bytes -= len(oldest.text)
	r.dropped++
	if oldest.key == "" {
		return
	}
	if _, known := r.state[oldest.key]; known {
		r.stateOrder = slices.DeleteFunc(r.stateOrder, func(key string) bool { return key == oldest.key })
	}
	r.stateOrder = append(r.stateOrder, oldest.key)
	r.state[oldest.key] = oldest
}

func encodeLine(l line) []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(l); err != nil {
		panic(fmt.Sprintf("trace: line has no JSON form: %v", err))
	}
	return out.Bytes()
}

// WriteTo writes what is kept as a trace without stated outcomes. The digest of
// the VM's own decisions is stated when no line was dropped.
func (r *Recorder) WriteTo(out io.Writer) (int64, error) {
	var text bytes.Buffer
	for _, part := range r.snapshot() {
		text.Write(part)
	}
	return text.WriteTo(out)
}

func (r *Recorder) snapshot() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := Head{Version: FormatVersion, VMs: slices.Clone(r.vms), Dropped: r.dropped}
	parts := [][]byte{encodeLine(line{Head: &head})}
	for _, key := range r.stateOrder {
		parts = append(parts, r.state[key].text)
	}
	for _, kept := range r.lines {
		parts = append(parts, kept.text)
	}
	if r.dropped == 0 {
		parts = append(parts, encodeLine(line{Digest: r.digest()}))
	}
	return parts
}

func (r *Recorder) digest() Digest {
	digest := make(Digest)
	for name, hash := range maps.All(r.hashes) {
		digest[name] = fmt.Sprintf("%016x", hash.Sum64())
	}
	return digest
}

// RecordFrames wraps a client of model engines so that a tap records the frames
// of its streams. now is the VM's clock.
func RecordFrames(client engine.Client, tap *Tap, now func() core.Time) engine.Client {
	return &frameClient{Client: client, tap: tap, now: now}
}

type frameClient struct {
	engine.Client
	tap *Tap
	now func() core.Time
}

// Open implements engine.Client.
func (c *frameClient) Open(ctx context.Context, attempt engine.AttemptRequest) (engine.Stream, error) {
	stream, err := c.Client.Open(ctx, attempt)
	if err != nil {
		return nil, err
	}
	return &frameStream{Stream: stream, client: c, attempt: attempt}, nil
}

type frameStream struct {
	engine.Stream
	client  *frameClient
	attempt engine.AttemptRequest
}

// Next implements engine.Stream.
func (s *frameStream) Next() (engine.Frame, error) {
	frame, err := s.Stream.Next()
	if err == nil {
		s.client.tap.Frame(s.client.now(), request.ID(s.attempt.Request), s.attempt.Attempt, frame)
	}
	return frame, err
}
