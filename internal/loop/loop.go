// Package loop runs the core of a VM: one goroutine takes events from a bounded
// channel, steps the core's state machine and delivers the resulting actions.
package loop

import (
	"context"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// EventCapacity is how many events a loop queues before Post blocks.
const EventCapacity = 4096

// actionCapacity is how many actions a request's channel holds.
const actionCapacity = 16

// Loop runs a core.Machine. Its methods are safe for concurrent use, except where
// noted otherwise.
type Loop struct {
	machine *core.Machine
	start   time.Time
	events  chan core.Event
	// ended is cancelled when Run returns.
	ended context.Context
	end   context.CancelFunc

	// The fields down to tickAt are used only by the goroutine of Run, once it runs.
	handlers  []func(core.Action)
	observers []Observer
	pending   []core.Event
	timer     *time.Timer
	tickAt    core.Time

	mu           sync.Mutex
	inboxes      map[request.ID]chan core.Action
	moveHandlers map[request.ID]func(core.Move)
}

// New returns a loop for a machine. No event is processed until Run is called.
func New(machine *core.Machine) *Loop {
	ended, end := context.WithCancel(context.Background())
	return &Loop{
		machine:      machine,
		start:        time.Now(),
		events:       make(chan core.Event, EventCapacity),
		ended:        ended,
		end:          end,
		inboxes:      make(map[request.ID]chan core.Action),
		moveHandlers: make(map[request.ID]func(core.Move)),
	}
}

// Observer is called for each step with the time, the event and the resulting actions.
type Observer func(now core.Time, event core.Event, actions []core.Action)

// Observe registers an observer, such as one that records a trace. The observer is
// called by the goroutine of Run before the actions are delivered. It must neither
// block nor modify them. Observe must be called before Run.
func (l *Loop) Observe(observer Observer) { l.observers = append(l.observers, observer) }

// Handle registers a handler that receives every action, in order. The handler is
// called by the goroutine of Run and must neither block nor call Post; it may answer
// an action with an event by PostNext. Handle must be called before Run.
func (l *Loop) Handle(handler func(core.Action)) { l.handlers = append(l.handlers, handler) }

// PostNext queues an event that is processed before any other. It may be called only
// by a handler, where Post would deadlock once the channel is full, because the channel
// is drained by the goroutine that runs the handler.
func (l *Loop) PostNext(event core.Event) { l.pending = append(l.pending, event) }

// Now returns the time on the machine's clock: the time since New.
func (l *Loop) Now() core.Time { return time.Since(l.start) }

// Run steps the machine until ctx is done, and returns ctx.Err().
func (l *Loop) Run(ctx context.Context) error {
	defer l.end()
	l.timer = time.NewTimer(0)
	defer l.timer.Stop()
	l.timer.Stop()
	for {
		select {
		case event := <-l.events:
			l.step(event)
		case <-l.timer.C:
			l.tickAt = 0
			l.step(core.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Loop) step(event core.Event) {
	l.deliver(l.stepMachine(event))
	for len(l.pending) > 0 {
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.deliver(l.stepMachine(next))
	}
}

func (l *Loop) stepMachine(event core.Event) []core.Action {
	now := l.Now()
	actions := l.machine.Step(now, event)
	for _, observe := range l.observers {
		observe(now, event, actions)
	}
	return actions
}

// scheduleTick arms the timer, unless it is already set for an earlier time.
func (l *Loop) scheduleTick(at core.Time) {
	if l.tickAt != 0 && l.tickAt <= at {
		return
	}
	l.tickAt = max(at, 1)
	l.timer.Reset(at - l.Now())
}

// Queued returns the number of queued events.
func (l *Loop) Queued() int { return len(l.events) }

// Post queues an event. It blocks while the channel is full, so that backpressure
// reaches the sockets and no event is dropped. After Run has returned, it discards the
// event.
func (l *Loop) Post(event core.Event) {
	select {
	case l.events <- event:
	case <-l.ended.Done():
	}
}

// Open registers a request and returns the channel of its actions. The caller must
// read the channel until it calls Close, because a full channel blocks the loop.
func (l *Loop) Open(id request.ID) <-chan core.Action {
	inbox := make(chan core.Action, actionCapacity)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inboxes[id] = inbox
	return inbox
}

// Close unregisters a request. Later actions for it are dropped.
func (l *Loop) Close(id request.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inboxes, id)
}

// OnMove registers a function that ends a request's current attempt when the core moves
// its stream, until stop is called. The function is called by the goroutine of Run and
// must not block. The request's own goroutine can't do this, because it relays tokens
// and reads no action before the attempt ends.
func (l *Loop) OnMove(id request.ID, move func(core.Move)) (stop func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moveHandlers[id] = move
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.moveHandlers, id)
	}
}

func (l *Loop) handleMove(move core.Move) {
	l.mu.Lock()
	handler := l.moveHandlers[move.Request]
	l.mu.Unlock()
	if handler != nil {
		handler(move)
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop) Done() <-chan struct{} { return l.ended.Done() }

// AfterEnd calls a function in its own goroutine when Run returns, unless stop is called before.
func (l *Loop) AfterEnd(call func()) (stop func() bool) { return context.AfterFunc(l.ended, call) }

func (l *Loop) deliver(actions []core.Action) {
	for _, action := range actions {
		for _, handle := range l.handlers {
			handle(action)
		}
		if wake, ok := action.(core.WakeAt); ok {
			l.scheduleTick(wake.At)
		}
		if move, ok := action.(core.Move); ok {
			l.handleMove(move)
			continue
		}
		addressed, ok := action.(core.RequestAction)
		if !ok {
			continue
		}
		l.mu.Lock()
		inbox := l.inboxes[addressed.RequestID()]
		l.mu.Unlock()
		if inbox != nil {
			inbox <- action
		}
	}
}
