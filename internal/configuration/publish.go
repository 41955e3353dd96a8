package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// pageWriteAttempts is the maximum number of attempts to write one page, since
// other VMs may write or delete it concurrently.
const pageWriteAttempts = 4

var errPageContended = eris.New("page is written and deleted by others at once: it is tried again with the release")

// KeptName returns the name under which a replaced release is archived, so that an
// operator can return to its records.
func KeptName(sequence uint64) string { return fmt.Sprintf("release-%012d", sequence) }

// newestRelease reads the platform's newest release, brings it in force here if it
// is newer, and returns it with its object's version, which is 0 when there is no
// release yet.
func (a *acceptor) newestRelease(ctx context.Context) (api.Release, history.Version, error) {
	object, err := a.platform.Get(ctx, string(api.KindRelease), api.ReleaseName)
	if errors.Is(err, platform.ErrNotFound) {
		return api.Release{}, 0, nil
	}
	if err != nil {
		return api.Release{}, 0, err
	}
	if err := a.offer(ctx, object.Value, config.FromPlatform, a.readPlatformPages); err != nil {
		return api.Release{}, 0, err
	}
	var release api.Release
	if err := json.Unmarshal(object.Value, &release); err != nil {
		return api.Release{}, 0, eris.Wrap(errNotAdopted, err.Error())
	}
	return release, object.Version, nil
}

// publish writes the new pages, archives the release that is replaced, and writes
// the next one on condition that the platform still has the release it is based on.
// Nothing is in force until that last write.
func (a *acceptor) publish(ctx context.Context, replaced api.Release, objectVersion history.Version, outcome config.AcceptResult) error {
	for _, ref := range outcome.NewPages {
		value, _ := outcome.Set.PageValue(ref)
		if err := a.writePage(ctx, ref.Hash, value); err != nil {
			return err
		}
	}
	if replaced.Sequence > 0 {
		_, err := a.platform.Create(ctx, string(api.KindRelease), KeptName(replaced.Sequence), replaced)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	err := a.writeRelease(ctx, objectVersion, *outcome.Release)
	if err != nil {
		err = a.confirmWrite(ctx, *outcome.Release, err)
	}
	if err != nil {
		return err
	}
	value, err := json.Marshal(outcome.Release)
	if err != nil {
		return err
	}
	telemetry.ReleaseAccepted.Log(a.log, "release", outcome.Release.Sequence, "changes", len(outcome.Records), "pages", len(outcome.NewPages))
	a.adopt(loadedRelease{release: *outcome.Release, value: value, set: outcome.Set}, config.FromPlatform)
	return nil
}

// writePage creates a page or, if it exists, writes it again. An existing page may
// be left over from a release that is no longer kept or from a lost race, and a
// concurrent sweep may be about to delete it. Rewriting it changes its version, so
// that the conditional delete fails; otherwise the release would reference a page
// that is gone.
func (a *acceptor) writePage(ctx context.Context, hash string, value []byte) error {
	kind := string(api.KindPage)
	for range pageWriteAttempts {
		_, err := a.platform.Create(ctx, kind, hash, json.RawMessage(value))
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		object, err := a.platform.Get(ctx, kind, hash)
		if err == nil {
			_, err = a.platform.Update(ctx, kind, hash, object.Version, json.RawMessage(value))
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	return eris.Wrap(errPageContended, hash)
}

func (a *acceptor) writeRelease(ctx context.Context, objectVersion history.Version, release api.Release) error {
	var err error
	if objectVersion == 0 {
		_, err = a.platform.Create(ctx, string(api.KindRelease), api.ReleaseName, release)
	} else {
		_, err = a.platform.Update(ctx, string(api.KindRelease), api.ReleaseName, objectVersion, release)
	}
	return err
}

// confirmWrite checks whether a release was written although its write returned an
// error. It may have been in force and have been replaced by another VM's since.
func (a *acceptor) confirmWrite(ctx context.Context, written api.Release, writeErr error) error {
	object, err := a.platform.Get(ctx, string(api.KindRelease), api.ReleaseName)
	if err != nil {
		return writeErr
	}
	var current api.Release
	if err := json.Unmarshal(object.Value, &current); err != nil {
		return writeErr
	}
	if err := config.ConfirmWritten(written, current); err != nil {
		return fmt.Errorf("%w: %w", err, writeErr)
	}
	return nil
}
