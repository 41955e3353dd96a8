package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// writeTries bounds how often one write is sent while its answers are lost.
const writeTries = 3

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, kind, name string, value any) (Object, error) {
	return c.put(ctx, kind, name, 0, value)
}

// Update writes an object whose version must be the given one.
func (c *Client) Update(ctx context.Context, kind, name string, version history.Version, value any) (Object, error) {
	return c.put(ctx, kind, name, version, value)
}

func (c *Client) put(ctx context.Context, kind, name string, version history.Version, value any) (Object, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	w := Write{Kind: kind, Name: name, Version: version, ID: uuid.NewString()}
	return c.untilKnown(ctx, w, func() (Object, error) {
		var object Object
		err := c.call(ctx, MethodWrite, w.Kind, func(ctx context.Context) (err error) {
			object, err = c.wire.Put(ctx, w, body)
			return err
		})
		return object, err
	})
}

// Delete removes an object whose version must be the given one. An object that
// is gone when a lost answer is looked into counts as deleted.
func (c *Client) Delete(ctx context.Context, kind, name string, version history.Version) error {
	w := Write{Kind: kind, Name: name, Version: version, ID: uuid.NewString(), deletes: true}
	_, err := c.untilKnown(ctx, w, func() (Object, error) {
		return Object{}, c.call(ctx, MethodDelete, w.Kind, func(ctx context.Context) error { return c.wire.Delete(ctx, w) })
	})
	return err
}

// untilKnown sends a write until its fate is known. When an answer is lost, the
// write may or may not have taken effect: without the look at the object, a
// writer would be told of a conflict with itself, or write twice. While the
// write's condition still holds it is sent again under the same id; that does
// no harm if the first copy arrives late, since only one of the two can meet
// the condition.
func (c *Client) untilKnown(ctx context.Context, w Write, send func() (Object, error)) (Object, error) {
	object, err := send()
	if !errors.Is(err, ErrUnavailable) {
		return object, err
	}
	backoff := c.NewBackoff()
	for range writeTries {
		current, fate := c.lookUp(ctx, w)
		switch fate {
		case fateTookEffect:
			return current, nil
		case fateReplaced:
			return Object{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, ErrConflict)
		case fateOpen:
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

// fate is what an object shows of a write whose answer was lost.
type fate int

const (
	// fateUnknown: the object could not be read.
	fateUnknown fate = iota
	// fateOpen: the write has not taken effect, and still may.
	fateOpen
	// fateTookEffect: the version in force is this very write.
	fateTookEffect
	// fateReplaced: another write is in force; this one may have been before it.
	fateReplaced
)

func (c *Client) lookUp(ctx context.Context, w Write) (Object, fate) {
	current, err := c.Get(ctx, w.Kind, w.Name)
	gone := errors.Is(err, ErrNotFound)
	switch {
	case err != nil && !gone:
		return Object{}, fateUnknown
	case gone && w.deletes, !gone && current.WriteID == w.ID:
		return current, fateTookEffect
	case gone && w.Version == 0, !gone && current.Version == w.Version:
		return current, fateOpen
	default:
		return current, fateReplaced
	}
}
