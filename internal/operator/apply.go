package operator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

const (
	// pollInterval is how often the status is read while waiting.
	pollInterval = 200 * time.Millisecond
	// deletionTimeout bounds the wait for a deletion's version.
	deletionTimeout = 2 * time.Second
)

// Applied is a change that was written.
type Applied struct {
	Change
	// Written is the version of the write.
	Written history.Version `json:"written"`
}

// Apply writes changes, each on condition that its record is as it was read.
// What was written before an error is returned with it.
func (c *Client) Apply(ctx context.Context, changes []Change) ([]Applied, error) {
	var applied []Applied
	for _, change := range changes {
		if change.Action == ActionUnchanged {
			applied = append(applied, Applied{Change: change, Written: change.Version})
			continue
		}
		version, err := c.write(ctx, change)
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			err = c.conflict(ctx, change, err)
		}
		if err != nil {
			return applied, eris.Wrap(err, change.Record)
		}
		applied = append(applied, Applied{Change: change, Written: version})
	}
	return applied, nil
}

func (c *Client) write(ctx context.Context, change Change) (history.Version, error) {
	kind := string(change.kind)
	var object platform.Object
	var err error
	switch change.Action {
	case ActionCreate:
		object, err = c.platform.Create(ctx, kind, change.name, change.after)
	case ActionUpdate:
		object, err = c.platform.Update(ctx, kind, change.name, change.Version, change.after)
	case ActionDelete:
		if err = c.platform.Delete(ctx, kind, change.name, change.Version); err == nil {
			object.Version, err = c.deletionVersion(ctx, change)
		}
	}
	return object.Version, err
}

// deletionVersion finds the version of a deletion, which the platform tells to
// watches only.
func (c *Client) deletionVersion(ctx context.Context, change Change) (history.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, deletionTimeout)
	defer cancel()
	var version history.Version
	err := c.platform.Watch(ctx, string(change.kind), change.Version, func(event platform.WatchEvent) {
		if event.Object.Name == change.name && event.Deleted {
			version = event.Object.Version
			cancel()
		}
	})
	if version > 0 {
		return version, nil
	}
	return 0, err
}

// conflict shows both sides of a lost race.
func (c *Client) conflict(ctx context.Context, change Change, cause error) error {
	var now json.RawMessage
	object, err := c.platform.Get(ctx, string(change.kind), change.name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return cause
	}
	if err == nil {
		now = object.Value
	}
	theirs, err := Diff(change.before, now)
	if err != nil {
		return cause
	}
	return &Conflict{Record: change.Record, Ours: change.Differences, Theirs: theirs}
}

// Verdicts is what became of applied changes.
type Verdicts struct {
	// Records is in the order of the changes. A record without a state has not
	// been decided on.
	Records []api.RecordStatus `json:"records"`
	// Release says where the newest release is in force.
	Release api.ReleaseStatus `json:"release"`
}

// Decided tells whether every record has been decided on.
func (v Verdicts) Decided() bool {
	for _, record := range v.Records {
		if record.State == "" {
			return false
		}
	}
	return true
}

// Accepted tells whether every record has been accepted.
func (v Verdicts) Accepted() bool {
	for _, record := range v.Records {
		if record.State != api.RecordAccepted {
			return false
		}
	}
	return true
}

// Everywhere tells whether the newest release is in force on all VMs.
func (v Verdicts) Everywhere() bool { return v.Release.VMs > 0 && v.Release.InForce == v.Release.VMs }

// Wait reads the status until every change has been decided on and, where
// accepted, is in force on all VMs; or until ctx ends, which is no error.
func (c *Client) Wait(ctx context.Context, applied []Applied) (Verdicts, error) {
	var verdicts Verdicts
	for {
		status, err := c.Status(ctx)
		if err != nil && ctx.Err() == nil {
			return verdicts, err
		}
		if err == nil {
			verdicts = judge(status, applied)
		}
		if verdicts.Decided() && (verdicts.Everywhere() || !verdicts.Accepted()) {
			return verdicts, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return verdicts, nil
		}
	}
}

func judge(status api.ConfigurationStatus, applied []Applied) Verdicts {
	verdicts := Verdicts{Release: status.Release}
	for _, change := range applied {
		record, decided := status.State(change.kind, change.name, uint64(change.Written))
		if !decided {
			record = api.RecordStatus{Record: change.Record, Version: uint64(change.Written)}
		}
		verdicts.Records = append(verdicts.Records, record)
	}
	return verdicts
}
