package operator

import (
	"context"
	"encoding/json"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

// checker stands for the VM in verdicts that no VM gave.
const checker = "check"

// Check decides on records as a VM would that has nothing else, without a platform.
func Check(documents []api.Document) ([]api.RecordStatus, error) {
	changes := make([]Change, 0, len(documents))
	for _, document := range documents {
		after, err := json.Marshal(document)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Change{Record: document.Key(), Action: ActionCreate, kind: document.Kind, name: document.Name, after: after})
	}
	return rehearse(config.Empty(), api.Release{}, changes)
}

// Rehearse decides on changes as a VM would now, and writes nothing.
func (c *Client) Rehearse(ctx context.Context, changes []Change) ([]api.RecordStatus, error) {
	var release api.Release
	if _, err := c.Object(ctx, api.KindRelease, api.ReleaseName, &release); err != nil {
		return nil, err
	}
	inForce, err := c.LoadRelease(ctx, release)
	if err != nil {
		return nil, err
	}
	return rehearse(inForce, release, changes)
}

func rehearse(inForce *config.Set, release api.Release, changes []Change) ([]api.RecordStatus, error) {
	seen := make(map[api.Kind]uint64)
	newest := uint64(0)
	for kind, version := range release.Seen {
		seen[kind] = version
		newest = max(newest, version)
	}
	var written []config.Change
	for _, change := range changes {
		if change.Action == ActionUnchanged {
			continue
		}
		newest++
		seen[change.kind] = newest
		written = append(written, config.Change{Kind: change.kind, Name: change.name, Version: newest, Raw: change.after})
	}
	outcome, err := config.Accept(config.AcceptInput{InForce: inForce, Release: release, Changes: written, Seen: seen, By: checker})
	return outcome.Records, err
}
