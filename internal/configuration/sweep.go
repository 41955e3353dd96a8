package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// sweepInterval is the time between sweeps of one part of the pages.
	sweepInterval = time.Minute
	// sweepParts is the number of parts, by the first two digits of the hash.
	// A part is small, so that a sweep never reads many pages at once.
	sweepParts = 256
	// KeptReleases is how many replaced releases an operator can return to.
	KeptReleases = 50
)

// sweeps tells whether this VM deletes pages that no release has. It is mostly
// not the one that accepts, which has the most traffic with the platform already.
func (m *Manager) sweeps() bool { return m.ranks().sweep == 0 }

// sweep deletes old releases and pages that no kept release has, until ctx ends.
func (m *Manager) sweep(ctx context.Context) {
	for part := 0; ; part = (part + 1) % sweepParts {
		select {
		case <-m.clock.After(m.jittered(sweepInterval)):
		case <-ctx.Done():
			return
		}
		deleted, err := m.sweepOnce(ctx, fmt.Sprintf("%02x", part))
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			m.log.V(1).Info("sweep failed", "error", err.Error())
		}
		if deleted > 0 {
			telemetry.PagesSwept.Log(m.log, "pages", deleted)
		}
	}
}

// sweepOnce deletes the pages under a prefix that no release in the platform
// has. It must not delete a page that another VM is about to name:
//
//   - The Release is rewritten as it is before anything is deleted. A VM that
//     read the Release earlier then fails to write the next one, and makes sure
//     of its pages again.
//   - A VM that reads the Release later, and needs a page which is there, writes
//     the page again. Its version is then not the one that is deleted.
func (m *Manager) sweepOnce(ctx context.Context, prefix string) (int, error) {
	current, err := m.platform.Get(ctx, string(api.KindRelease), api.ReleaseName)
	if err != nil {
		return 0, err
	}
	kept, err := m.keptPages(ctx, current)
	if err != nil {
		return 0, err
	}
	pages, err := m.platform.List(ctx, string(api.KindPage), prefix)
	if err != nil {
		return 0, err
	}
	loose := slices.DeleteFunc(pages.Items, func(o platform.Object) bool { return kept[o.Name] })
	if len(loose) == 0 {
		return 0, nil
	}
	_, err = m.platform.Update(ctx, string(api.KindRelease), api.ReleaseName, current.Version, current.Value)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, page := range loose {
		err := m.platform.Delete(ctx, string(api.KindPage), page.Name, page.Version)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return deleted, err
		}
		if err == nil {
			deleted++
		}
	}
	return deleted, nil
}

// keptPages are the pages of the current release and of those kept. Releases
// beyond the newest KeptReleases are deleted first.
func (m *Manager) keptPages(ctx context.Context, current platform.Object) (map[string]bool, error) {
	list, err := m.platform.List(ctx, string(api.KindRelease), "")
	if err != nil {
		return nil, err
	}
	old := slices.DeleteFunc(list.Items, func(o platform.Object) bool { return o.Name == api.ReleaseName })
	slices.SortFunc(old, func(a, b platform.Object) int { return strings.Compare(b.Name, a.Name) })
	for _, object := range old[min(len(old), KeptReleases):] {
		if err := m.platform.Delete(ctx, string(api.KindRelease), object.Name, object.Version); err != nil {
			return nil, err
		}
	}
	kept := make(map[string]bool)
	indexes := make(map[string][]api.PageRef)
	for _, object := range append(old[:min(len(old), KeptReleases)], current) {
		var release api.Release
		if err := json.Unmarshal(object.Value, &release); err != nil {
			return nil, err
		}
		if err := m.keepPages(ctx, release, kept, indexes); err != nil {
			return nil, err
		}
	}
	m.indexes = indexes
	return kept, nil
}

// keepPages adds the pages and indexes of a release to those kept. An index that
// can't be read ends the sweep: the pages that it lists must not be deleted.
func (m *Manager) keepPages(ctx context.Context, release api.Release, kept map[string]bool, indexes map[string][]api.PageRef) error {
	for _, ref := range release.Pages {
		kept[ref.Hash] = true
		if !ref.Index {
			continue
		}
		listed, known := indexes[ref.Hash]
		if !known {
			listed, known = m.indexes[ref.Hash]
		}
		if !known {
			object, err := m.platform.Get(ctx, string(api.KindPage), ref.Hash)
			if err != nil {
				return err
			}
			if listed, err = config.ReadIndex(ref, object.Value); err != nil {
				return err
			}
		}
		indexes[ref.Hash] = listed
		for _, page := range listed {
			kept[page.Hash] = true
		}
	}
	return nil
}
