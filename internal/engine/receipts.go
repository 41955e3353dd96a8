package engine

import (
	"fmt"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core"
)

// ErrBadReceipts marks a token whose receipts don't prove that every layer ran
// exactly once, in order, on the expected version.
var ErrBadReceipts = eris.New("receipts do not prove the token: the attempt ends and the server is avoided")

// Expectation describes what the receipts of every token of an attempt must show.
type Expectation struct {
	Request string
	Attempt int
	Version string
	Path    []Hop
	// NextIndex is the index of the next token.
	NextIndex int
	// Layers is the number of layers that the path must cover.
	Layers int

	// incarnations are those in the receipts of the first token, one per stage.
	incarnations []uint64
}

// ExpectationOf returns the expectation for the frames of a dispatch.
func ExpectationOf(dispatch core.Dispatch) *Expectation {
	hops := make([]Hop, 0, len(dispatch.Path))
	layers := dispatch.Layers
	for _, stage := range dispatch.Path {
		hops = append(hops, Hop{Server: stage.Server, Address: stage.Address, Layers: stage.Layers})
	}
	return &Expectation{
		Request:   string(dispatch.Request),
		Attempt:   dispatch.Attempt,
		Version:   dispatch.Version,
		Path:      hops,
		NextIndex: dispatch.FromToken,
		Layers:    layers,
	}
}

// Judgement classifies a frame.
type Judgement int

// The classes of frames.
const (
	// FrameForeign belongs to another stream or an earlier attempt: drop it.
	FrameForeign Judgement = iota
	// FrameToken has a token proven by its receipts: deliver it.
	FrameToken
	// FrameFinish ends the complete answer.
	FrameFinish
	// FrameFault ends the attempt; the server that it names, if any, is at fault.
	FrameFault
	// FrameUnproven has a token whose receipts do not prove it: end the attempt.
	FrameUnproven
)

// Judge classifies one frame of the attempt's stream, and returns the server at fault,
// if any. Live attempts and the replay of recorded ones both use it.
func (e *Expectation) Judge(frame Frame) (Judgement, string) {
	switch {
	case !e.Matches(frame):
		return FrameForeign, ""
	case frame.Fault != nil:
		return FrameFault, frame.Fault.Server
	case frame.Finish != "":
		return FrameFinish, ""
	}
	if server, err := e.Check(frame); err != nil {
		return FrameUnproven, server
	}
	return FrameToken, ""
}

// Check verifies a frame before its token is delivered to the caller, and advances
// NextIndex. With an error it returns the server at fault, if known.
func (e *Expectation) Check(frame Frame) (server string, err error) {
	if frame.Token.Index != e.NextIndex {
		return e.Path[0].Server, fmt.Errorf("%w: token index %d, want %d", ErrBadReceipts, frame.Token.Index, e.NextIndex)
	}
	if len(frame.Token.Receipts) != len(e.Path) {
		return e.Path[0].Server, fmt.Errorf("%w: %d receipts for %d stages", ErrBadReceipts, len(frame.Token.Receipts), len(e.Path))
	}
	for i, receipt := range frame.Token.Receipts {
		if err := e.checkReceipt(receipt, e.Path[i]); err != nil {
			return e.Path[i].Server, err
		}
	}
	if server, err := e.checkLayerCoverage(frame.Token.Receipts); err != nil {
		return server, err
	}
	if server, err := e.checkIncarnations(frame.Token.Receipts); err != nil {
		return server, err
	}
	e.NextIndex++
	return "", nil
}

func (e *Expectation) checkReceipt(receipt Receipt, hop Hop) error {
	switch {
	case receipt.Attempt != e.Attempt:
		return fmt.Errorf("%w: attempt %d, want %d", ErrBadReceipts, receipt.Attempt, e.Attempt)
	case receipt.Server != hop.Server:
		return fmt.Errorf("%w: server %q, want %q", ErrBadReceipts, receipt.Server, hop.Server)
	case receipt.Layers != hop.Layers:
		return fmt.Errorf("%w: layers %v, want %v", ErrBadReceipts, receipt.Layers, hop.Layers)
	case receipt.Version != e.Version:
		return fmt.Errorf("%w: version %q, want %q", ErrBadReceipts, receipt.Version, e.Version)
	default:
		return nil
	}
}

// checkLayerCoverage verifies from the receipts alone that layers [0, L) ran once each,
// in order. It is the only check that detects a wrongly assembled path, as every stage
// of such a path runs exactly the layers that it was given.
func (e *Expectation) checkLayerCoverage(receipts []Receipt) (string, error) {
	next := 0
	for _, receipt := range receipts {
		if receipt.Layers.From != next || receipt.Layers.To <= next {
			return receipt.Server, fmt.Errorf("%w: layers %v after layer %d", ErrBadReceipts, receipt.Layers, next)
		}
		next = receipt.Layers.To
	}
	if next != e.Layers {
		return "", fmt.Errorf("%w: the last layer run is %d of %d", ErrBadReceipts, next, e.Layers)
	}
	return "", nil
}

// checkIncarnations verifies that no stage was restarted within the attempt: the new
// process would lack the KV cache of the earlier tokens.
func (e *Expectation) checkIncarnations(receipts []Receipt) (string, error) {
	if e.incarnations == nil {
		e.incarnations = make([]uint64, 0, len(receipts))
		for _, receipt := range receipts {
			e.incarnations = append(e.incarnations, receipt.Incarnation)
		}
		return "", nil
	}
	for i, receipt := range receipts {
		if receipt.Incarnation != e.incarnations[i] {
			return receipt.Server, fmt.Errorf("%w: incarnation %d, want %d", ErrBadReceipts, receipt.Incarnation, e.incarnations[i])
		}
	}
	return "", nil
}

// Matches reports whether a frame belongs to this attempt. The caller drops frames of an
// earlier attempt or of another stream and never delivers them.
func (e *Expectation) Matches(frame Frame) bool {
	return frame.Request == e.Request && frame.Attempt == e.Attempt
}
