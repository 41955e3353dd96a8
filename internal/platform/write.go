package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// maxOutcomeChecks is the maximum number of times that the outcome of a write is checked,
// and the write sent again, after its response was lost.
const maxOutcomeChecks = 3

// Create creates an object. It returns ErrConflict if the object exists.
func (c *Client) Create(ctx context.Context, kind, name string, value any) (Object, error) {
	return c.put(ctx, kind, name, 0, value)
}

// Update replaces an object. It returns ErrConflict if the object isn't at version.
func (c *Client) Update(ctx context.Context, kind, name string, version history.Version, value any) (Object, error) {
	return c.put(ctx, kind, name, version, value)
}

func (c *Client) put(ctx context.Context, kind, name string, version history.Version, value any) (Object, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	w := Write{Kind: kind, Name: name, Version: version, ID: uuid.NewString()}
	return c.writeUntilResolved(ctx, w, func() (Object, error) {
		var object Object
		err := c.call(ctx, MethodWrite, w.Kind, func(ctx context.Context) (err error) {
			object, err = c.wire.Put(ctx, w, body)
			return err
		})
		return object, err
	})
}

// Delete deletes an object. It returns ErrConflict if the object isn't at version.
// If the response is lost and the object doesn't exist afterwards, it counts as deleted.
func (c *Client) Delete(ctx context.Context, kind, name string, version history.Version) error {
	w := Write{Kind: kind, Name: name, Version: version, ID: uuid.NewString(), isDelete: true}
	_, err := c.writeUntilResolved(ctx, w, func() (Object, error) {
		return Object{}, c.call(ctx, MethodDelete, w.Kind, func(ctx context.Context) error { return c.wire.Delete(ctx, w) })
	})
	return err
}

// writeUntilResolved sends a write until its outcome is known. When a response is lost,
// the write may or may not have taken effect: without reading the object, the writer
// would see a conflict with itself, or write twice. While the write's condition is
// still true, it is sent again with the same ID. That is safe even if the first copy
// arrives late, since only one of the two can meet the condition.
func (c *Client) writeUntilResolved(ctx context.Context, w Write, send func() (Object, error)) (Object, error) {
	object, err := send()
	if !errors.Is(err, ErrUnavailable) {
		return object, err
	}
	backoff := c.NewBackoff()
	for range maxOutcomeChecks {
		current, outcome := c.checkOutcome(ctx, w)
		switch outcome {
		case outcomeApplied:
			return current, nil
		case outcomeSuperseded:
			return Object{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, ErrConflict)
		case outcomePending:
			if object, err := send(); err == nil {
				return object, nil
			}
		}
		if backoff.Wait(ctx) != nil {
			break
		}
	}
	return Object{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// writeOutcome is what the object shows about a write whose response was lost.
type writeOutcome int

const (
	// outcomeUnknown: the object could not be read.
	outcomeUnknown writeOutcome = iota
	// outcomePending: the write has not taken effect, but still may.
	outcomePending
	// outcomeApplied: the current version is this write.
	outcomeApplied
	// outcomeSuperseded: the current version is another write, possibly after this one.
	outcomeSuperseded
)

func (c *Client) checkOutcome(ctx context.Context, w Write) (Object, writeOutcome) {
	current, err := c.Get(ctx, w.Kind, w.Name)
	deleted := errors.Is(err, ErrNotFound)
	switch {
	case err != nil && !deleted:
		return Object{}, outcomeUnknown
	case deleted && w.isDelete, !deleted && current.WriteID == w.ID:
		return current, outcomeApplied
	case deleted && w.Version == 0, !deleted && current.Version == w.Version:
		return current, outcomePending
	default:
		return current, outcomeSuperseded
	}
}
