package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/engine"
)

// Lie is a way in which an engine misstates what it did.
type Lie string

// The lies.
const (
	// LieLayers claims one layer too many in its receipts.
	LieLayers Lie = "layers"
	// LieVersion claims another model version in its receipts.
	LieVersion Lie = "version"
	// LieAttempt claims another attempt in its receipts.
	LieAttempt Lie = "attempt"
	// LieIncarnation claims a new incarnation with every receipt.
	LieIncarnation Lie = "incarnation"
	// LieSkip leaves a token index out. First stages only.
	LieSkip Lie = "skip_token"
	// LieRepeat sends each token twice. First stages only.
	LieRepeat Lie = "repeat_token"
	// LieFormerAttempt sends, before each token, one that belongs to an attempt
	// given up before. First stages only.
	LieFormerAttempt Lie = "former_attempt"
	// LieOtherStream sends, before each token, one of another request's stream.
	// First stages only.
	LieOtherStream Lie = "other_stream"
)

// Damage is a way in which an engine breaks its stream.
type Damage string

// The kinds of damage.
const (
	// DamageGarbage sends bytes that are not a frame.
	DamageGarbage Damage = "garbage"
	// DamageHalfFrame sends half a frame and closes the connection.
	DamageHalfFrame Damage = "half_frame"
	// DamageCut closes the connection between two frames.
	DamageCut Damage = "cut"
	// DamageEnd ends the stream in good order, but without its last frame.
	DamageEnd Damage = "end"
	// DamageSwallow keeps the stream open, but loses what should go out on it:
	// no step is in progress, and nothing comes.
	DamageSwallow Damage = "swallow"
)

// Faults are the ways in which an engine misbehaves. The zero value is none.
type Faults struct {
	// Stall stops everything; connections stay open.
	Stall bool `json:"stall,omitempty"`
	// StallSteps stops the steps only: the engine still answers questions.
	StallSteps bool   `json:"stallSteps,omitempty"`
	Lie        Lie    `json:"lie,omitempty"`
	Damage     Damage `json:"damage,omitempty"`
	// Refuse answers every attempt with a refusal, before any work.
	Refuse bool `json:"refuse,omitempty"`
	// CloseUnread closes the connection of every attempt before it is read,
	// so that the router can't tell whether it ran.
	CloseUnread bool `json:"closeUnread,omitempty"`
	// SlowMillis is added to each step.
	SlowMillis int `json:"slowMillis,omitempty"`
	// Poison crashes the engine when a prompt contains it.
	Poison string `json:"poison,omitempty"`
	// IgnoreFences takes orders on whatever their fencing number.
	IgnoreFences bool `json:"ignoreFences,omitempty"`
	// Leaving reports that the engine leaves. It still takes work, as a lagging fleet would send it.
	Leaving bool `json:"leaving,omitempty"`
	// LeaveByMillis is when it says that it stops, in milliseconds of Unix time.
	LeaveByMillis int64 `json:"leaveByMillis,omitempty"`
}

type faults struct {
	mu      sync.Mutex
	now     Faults
	changed chan struct{}
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.now = f
	if e.faults.changed != nil {
		close(e.faults.changed)
	}
	e.faults.changed = make(chan struct{})
}

// Stall makes the engine go silent, its connections open, until Recover.
func (e *Engine) Stall() { e.SetFaults(Faults{Stall: true}) }

// Lie makes the engine claim one layer too many in its receipts.
func (e *Engine) Lie() { e.SetFaults(Faults{Lie: LieLayers}) }

// Recover ends every fault.
func (e *Engine) Recover() { e.SetFaults(Faults{}) }

func (f *faults) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.now, f.changed
}

// wait returns when the engine is not stalled.
func (f *faults) wait(ctx context.Context, stalled func(Faults) bool) error {
	for {
		now, changed := f.get()
		if !stalled(now) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func stallsSteps(f Faults) bool { return f.Stall || f.StallSteps }
func stallsAll(f Faults) bool   { return f.Stall }
func swallows(f Faults) bool    { return f.Damage == DamageSwallow }

func (f Faults) slow() time.Duration { return time.Duration(f.SlowMillis) * time.Millisecond }

func (f Faults) poisoned(prompt string) bool {
	return f.Poison != "" && strings.Contains(prompt, f.Poison)
}

// distort applies a lie about this engine's own receipt.
func (f Faults) distort(receipt engine.Receipt, index int) engine.Receipt {
	switch f.Lie {
	case LieLayers:
		receipt.Layers.To++
	case LieVersion:
		receipt.Version += "-other"
	case LieAttempt:
		receipt.Attempt++
	case LieIncarnation:
		receipt.Incarnation += uint64(index)
	}
	return receipt
}
