package operator

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/configuration"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

// ErrNoRelease marks a release that is not kept.
var ErrNoRelease = eris.New("release is not kept: list the kept ones with `oleandershunt get releases`")

// Release reads a release by its number: the current one or one that is kept.
func (c *Client) Release(ctx context.Context, sequence uint64) (api.Release, error) {
	var release api.Release
	for _, name := range []string{api.ReleaseName, configuration.KeptName(sequence)} {
		found, err := c.Object(ctx, api.KindRelease, name, &release)
		if err != nil {
			return api.Release{}, err
		}
		if found && release.Sequence == sequence {
			return release, nil
		}
	}
	return api.Release{}, eris.Wrapf(ErrNoRelease, "%d", sequence)
}

// LoadRelease reads the records of a release.
func (c *Client) LoadRelease(ctx context.Context, release api.Release) (*config.Set, error) {
	pages := make(map[string][]byte, len(release.Pages))
	for range config.ReadRounds {
		missing, err := config.Empty().Missing(release, pages)
		if err != nil {
			return nil, err
		}
		for _, ref := range missing {
			object, err := c.platform.Get(ctx, string(api.KindPage), ref.Hash)
			if err != nil {
				return nil, eris.Wrapf(err, "page %s", ref.Hash)
			}
			pages[ref.Hash] = object.Value
		}
	}
	return config.Empty().Load(release, pages)
}

// PlanRollback compares the records of an older release with those in the
// platform. Writing them makes a new release with the old content: a release
// never comes back by itself.
func (c *Client) PlanRollback(ctx context.Context, sequence uint64) ([]Change, error) {
	release, err := c.Release(ctx, sequence)
	if err != nil {
		return nil, err
	}
	wanted, err := c.LoadRelease(ctx, release)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for _, kind := range api.OperatorKinds() {
		found, err := c.planKind(ctx, kind, wanted)
		if err != nil {
			return nil, err
		}
		changes = append(changes, found...)
	}
	sortChanges(changes)
	return changes, nil
}

func (c *Client) planKind(ctx context.Context, kind api.Kind, wanted *config.Set) ([]Change, error) {
	list, err := c.platform.List(ctx, string(kind), "")
	if err != nil {
		return nil, err
	}
	var changes []Change
	standing := make(map[string]bool, len(list.Items))
	for _, object := range list.Items {
		standing[object.Name] = true
		change := Change{Record: api.Key(kind, object.Name), Action: ActionDelete, Version: object.Version, kind: kind, name: object.Name, before: object.Value}
		if record := wanted.Record(kind, object.Name); record != nil {
			change.Action, change.after = ActionUpdate, record.Raw
		}
		if change.Differences, err = Diff(change.before, change.after); err != nil {
			return nil, err
		}
		if len(change.Differences) > 0 {
			changes = append(changes, change)
		}
	}
	for record := range wanted.Records(kind) {
		if standing[record.Name] {
			continue
		}
		change := Change{Record: record.Key(), Action: ActionCreate, kind: kind, name: record.Name, after: record.Raw}
		if change.Differences, err = Diff(nil, json.RawMessage(record.Raw)); err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
