package quarantine

import "time"

const (
	// answerMemory is how long at least an answer to a part of prompts counts for later losses.
	// Without it, parts that nearly all requests share would be held back when servers end so fast
	// that none is answered any more.
	answerMemory = 30 * time.Second
	// maxAnswered bounds the parts in one generation.
	maxAnswered = 8192
)

// answeredParts are the parts of prompts that were answered recently, in two generations.
type answeredParts struct {
	current, previous map[Content]struct{}
	// startedAt is when the current generation started.
	startedAt time.Duration
}

func (a *answeredParts) add(now time.Duration, part Content) {
	a.advance(now)
	if a.current == nil || len(a.current) >= maxAnswered {
		a.rotate(now)
	}
	a.current[part] = struct{}{}
}

func (a *answeredParts) recently(now time.Duration, part Content) bool {
	a.advance(now)
	_, current := a.current[part]
	_, previous := a.previous[part]
	return current || previous
}

// AnsweredRecently reports whether a part of prompts was answered recently. Losses don't count against
// it then.
func (t *Table) AnsweredRecently(now time.Duration, part Content) bool {
	return t.answered.recently(now, part)
}

// advance drops the generations that are too old.
func (a *answeredParts) advance(now time.Duration) {
	if now-a.startedAt >= 2*answerMemory {
		a.current, a.previous = nil, nil
	}
	if now-a.startedAt >= answerMemory {
		a.rotate(now)
	}
}

func (a *answeredParts) rotate(now time.Duration) {
	a.previous, a.current, a.startedAt = a.current, make(map[Content]struct{}), now
}
