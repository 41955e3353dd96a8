package operator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// The errors of explaining.
var (
	// ErrNotExplained: no VM took the question up in time.
	ErrNotExplained = eris.New("no VM answered: check with `oleandershunt status` that VMs reach the platform, then ask again")
	// ErrUnknownRequest: no VM remembers the request.
	ErrUnknownRequest = eris.New("no VM remembers the request: check the id; VMs keep the latest few thousand requests in memory only")
)

// Explain asks the VMs what was decided about a request, and waits for the
// answer until ctx ends.
func (c *Client) Explain(ctx context.Context, request string) (api.Explanation, error) {
	kind := string(api.KindExplanation)
	question := api.Explanation{Request: request, State: api.ExplanationAsked}
	_, err := c.platform.Create(ctx, kind, request, question)
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		// Whether the question was written does not matter: asking again is harmless.
		return question, eris.Wrap(platform.ErrUnavailable, "question could not be asked")
	case err != nil && !errors.Is(err, platform.ErrConflict):
		return question, err
	}
	for {
		object, err := c.platform.Get(ctx, kind, request)
		if err == nil {
			err = json.Unmarshal(object.Value, &question)
		}
		if err != nil {
			return question, err
		}
		if question.State != api.ExplanationAsked {
			return question, c.clear(ctx, object, question)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return question, ErrNotExplained
		}
	}
}

// clear deletes an answered question, so that answers do not pile up.
func (c *Client) clear(ctx context.Context, object platform.Object, answer api.Explanation) error {
	err := c.platform.Delete(ctx, object.Kind, object.Name, object.Version)
	if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if answer.State == api.ExplanationUnknown {
		return eris.Wrap(ErrUnknownRequest, answer.Request)
	}
	return nil
}
