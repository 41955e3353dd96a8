package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// errNotAdopted marks a release that was offered and is not brought in force.
var errNotAdopted = eris.New("release is not brought in force: the one in force stays")

// pageReader reads pages by content hash and passes on each; those that it lacks
// are passed over. It ends with the first error of take.
type pageReader func(ctx context.Context, hashes []string, take func(hash string, value []byte) error) error

// offer brings a release in force if it is newer than the one that is. Pages
// come from the first reader that has them.
func (m *Manager) offer(ctx context.Context, value []byte, source config.Source, readers ...pageReader) error {
	var release api.Release
	if err := json.Unmarshal(value, &release); err != nil {
		telemetry.ReleaseUnreadable.Fail(m.log, err, "source", source)
		return eris.Wrap(errNotAdopted, err.Error())
	}
	return m.judge(ctx, release, source, func(inForce version) error {
		return m.load(ctx, inForce, version{release: release, value: value}, source, readers)
	})
}

// offerRebuilt brings a release that another VM's delta led to in force if it
// is newer than the one that is.
func (m *Manager) offerRebuilt(ctx context.Context, next version) error {
	return m.judge(ctx, next.release, config.FromPeer, func(version) error {
		m.adopt(next, config.FromPeer)
		return nil
	})
}

// judge decides on a release that is offered, and adopts it where it is newer.
func (m *Manager) judge(ctx context.Context, release api.Release, source config.Source, adopt func(inForce version) error) error {
	inForce, _ := m.store.current()
	switch config.DecideRelease(inForce.release, release, source) {
	case config.Adopt:
		return adopt(inForce)
	case config.Implausible:
		return m.readRelease(ctx)
	case config.Forked:
		telemetry.ReleaseForked.Fail(m.log, errNotAdopted, "release", release.Sequence, "by", release.By, "source", source)
		return errNotAdopted
	default:
		return nil
	}
}

// load reads the pages that differ and brings the release in force.
func (m *Manager) load(ctx context.Context, inForce, next version, source config.Source, readers []pageReader) error {
	l := m.joinLoading(inForce, next)
	defer m.leaveLoading(l)
	err := m.readPages(ctx, l, readers)
	if err == nil {
		next.set, err = l.set()
	}
	switch {
	case err == nil:
		m.adopt(next, source)
		return nil
	case errors.Is(err, errOvertaken):
		return nil
	case !errors.Is(err, config.ErrMissingPages):
		telemetry.ReleaseUnreadable.Fail(m.log, err, "release", next.release.Sequence, "source", source)
	}
	return err
}

// readPages adds the indexes and pages that are missing.
func (m *Manager) readPages(ctx context.Context, l *loading, readers []pageReader) error {
	for range config.ReadRounds {
		missing, err := l.missing()
		if err != nil {
			return err
		}
		if err := m.readEach(ctx, l, missing, readers); err != nil {
			return err
		}
	}
	return nil
}

// readEach adds each of the given pages from the first reader that has it.
func (m *Manager) readEach(ctx context.Context, l *loading, missing []string, readers []pageReader) error {
	for _, read := range readers {
		missing = l.lacking(missing)
		if len(missing) == 0 {
			break
		}
		err := read(ctx, slices.Clone(missing), l.add)
		if errors.Is(err, errOvertaken) || errors.Is(err, errPageRefused) {
			return err
		}
		if err != nil {
			m.log.V(1).Info("pages could not be read", "error", err.Error())
		}
	}
	return nil
}

func (m *Manager) adopt(next version, source config.Source) {
	if m.store.adopt(next) {
		telemetry.ConfigInForce.Log(m.log, "release", next.release.Sequence, "source", source, "by", next.release.By)
	}
}

// readRelease reads the newest release in the platform and offers it.
func (m *Manager) readRelease(ctx context.Context) error {
	object, err := m.platform.Get(ctx, string(api.KindRelease), api.ReleaseName)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return m.offer(ctx, object.Value, config.FromPlatform, m.platformPages)
}

// platformPages reads pages from the platform.
func (m *Manager) platformPages(ctx context.Context, hashes []string, take func(hash string, value []byte) error) error {
	for _, hash := range hashes {
		object, err := m.platform.Get(ctx, string(api.KindPage), hash)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if err := take(hash, object.Value); err != nil {
			return err
		}
	}
	return nil
}
