package api

// KindExplanation is the kind of record by which an operator asks what was
// decided about a request. A VM fills it in.
const KindExplanation Kind = "Explanation"

// ExplanationState is how far an explanation has come.
type ExplanationState string

// The states of an explanation.
const (
	// ExplanationAsked: written by an operator, not answered yet.
	ExplanationAsked ExplanationState = "asked"
	// ExplanationFound: Steps says what was decided.
	ExplanationFound ExplanationState = "found"
	// ExplanationUnknown: no VM that answered remembers the request.
	ExplanationUnknown ExplanationState = "unknown"
)

// Explanation is what was decided about one request, step by step.
type Explanation struct {
	Request string           `json:"request"`
	State   ExplanationState `json:"state"`
	// VM is the one that decided.
	VM    string            `json:"vm,omitempty"`
	Steps []ExplanationStep `json:"steps,omitempty"`
	// Silent lists the VMs that did not answer; one of them may know the request.
	Silent []string `json:"silent,omitempty"`
}

// ExplanationStep is one decision.
type ExplanationStep struct {
	// Millis is when, counted from the request's first step.
	Millis    int64    `json:"millis"`
	Step      string   `json:"step"`
	Attempt   int      `json:"attempt,omitempty"`
	Servers   []string `json:"servers,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	Execution string   `json:"execution,omitempty"`
	Outcome   string   `json:"outcome,omitempty"`
	Tokens    int      `json:"tokens,omitempty"`
	Text      string   `json:"text,omitempty"`
}
