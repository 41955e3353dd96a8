package trace

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// Run is what came of feeding a trace to the cores of its VMs.
type Run struct {
	// Events and Actions count what went in and came out.
	Events  int
	Actions int
	// Digest is the hash of each VM's decisions.
	Digest Digest
	// Unasked are the events that answer a decision which the replay did not take.
	Unasked []Finding

	vms      map[string]*process
	order    []string
	requests map[requestKey]*requestRun
	servers  map[string]*serverRun
	all      []*requestRun
}

// requestKey identifies a request over all VMs.
type requestKey struct {
	vm string
	id request.ID
}

// process is one VM of the trace with its current process.
type process struct {
	vm       VM
	machine  *core.Machine
	hash     *xxhash.Digest
	releases []ReleaseAt
	// lastRelease is the line that last changed the release in force.
	lastRelease point
	cut         int
}

// point is a line of the trace that caused something.
type point struct {
	line  int
	event string
	// at is on the trace's time line.
	at time.Duration
}

// dispatch is one attempt that a core decided on.
type dispatch struct {
	point
	servers []string
	expect  *engine.Expectation
	ended   bool
	outcome request.Outcome
}

// requestRun is what came of one request.
type requestRun struct {
	key        requestKey
	arrived    core.RequestArrived
	dispatches []*dispatch
	tokens     []uint32
	dropped    int
	bad        int
	answer     Answer
	refusal    *core.Refuse
	// last is the line that last changed something.
	last point
}

// serverRun is what came of one backend server.
type serverRun struct {
	leaving  *point
	dispatch *point
	// byRecord says that the word was the server's record, which can be taken back.
	byRecord bool
	// late is the last dispatch too long after leaving.
	late *point
}

// Replay feeds a trace to new cores. It takes no clock and invents nothing, so
// the same trace always gives the same run.
func Replay(t *Trace) *Run {
	r := &Run{
		Digest:   make(Digest),
		vms:      make(map[string]*process),
		requests: make(map[requestKey]*requestRun),
		servers:  make(map[string]*serverRun),
	}
	for _, vm := range t.Head.VMs {
		r.order = append(r.order, vm.Name)
		r.vms[vm.Name] = &process{vm: vm, machine: core.New(vm.Options), hash: xxhash.New()}
	}
	for _, step := range t.Steps {
		r.step(step)
	}
	for _, name := range r.order {
		r.cut(name)
		r.Digest[name] = fmt.Sprintf("%016x", r.vms[name].hash.Sum64())
	}
	return r
}

func (r *Run) step(step Step) {
	switch {
	case step.Restart != nil:
		r.restart(*step.Restart)
	case step.Frame != nil:
		r.frame(step.Line, *step.Frame)
	default:
		r.event(step)
	}
}

// restart replaces a VM's process by one that knows nothing.
func (r *Run) restart(restart Restart) {
	r.cut(restart.VM)
	p := r.vms[restart.VM]
	p.vm.Offset = restart.Offset
	p.machine = core.New(p.vm.Options)
}

// cut notes the requests that a VM's process leaves without an end.
func (r *Run) cut(vm string) {
	for _, run := range r.all {
		if run.key.vm == vm && run.answer == "" {
			run.answer = AnswerCut
			r.vms[vm].cut++
		}
	}
}

func (r *Run) event(step Step) {
	p := r.vms[step.Event.VM]
	at := point{line: step.Line, event: step.Event.Name, at: step.Event.At + p.vm.Offset}
	r.Events++
	r.before(at, step.Event.VM, step.decoded)
	actions := p.machine.Step(step.Event.At, step.decoded)
	r.after(at, step.Event.VM, step.decoded, actions)
	for _, action := range actions {
		r.Actions++
		hashAction(p.hash, step.Event.At, action)
	}
}

// hashAction adds a decision's bytes to a VM's digest. Notes explain decisions
// and are none: a better wording must not look like another behaviour.
func hashAction(hash *xxhash.Digest, at core.Time, action core.Action) {
	if _, ok := action.(core.Note); ok {
		return
	}
	body, err := json.Marshal(action)
	if err != nil {
		// A message's JSON form is proven by a test of the registry; a failure
		// here would make two different runs look alike.
		panic(fmt.Sprintf("trace: action %s has no JSON form: %v", action.ActionName(), err))
	}
	fmt.Fprintf(hash, "%d %s %s\n", at, action.ActionName(), body)
}

// frame judges one frame of an answer as the VM's relay does.
func (r *Run) frame(line int, frame Frame) {
	run := r.requests[requestKey{frame.VM, frame.Request}]
	at := point{line: line, event: "frame", at: frame.At + r.vms[frame.VM].vm.Offset}
	if run == nil || frame.Attempt < 1 || frame.Attempt > len(run.dispatches) {
		r.unasked(at, fmt.Sprintf("frame of request %s, attempt %d", frame.Request, frame.Attempt))
		return
	}
	run.last = at
	judgement, _ := run.dispatches[frame.Attempt-1].expect.Judge(frame.Frame)
	switch judgement {
	case engine.FrameForeign:
		run.dropped++
	case engine.FrameUnproven:
		run.bad++
	case engine.FrameToken:
		run.tokens = append(run.tokens, frame.Frame.Token.ID)
	}
}

func (r *Run) unasked(at point, what string) {
	r.Unasked = append(r.Unasked, Finding{
		Line:      at.line,
		Event:     at.event,
		EventLine: at.line,
		What:      what,
		Expected:  "an answer to a decision",
		Found:     "the decision was not taken",
	})
}
