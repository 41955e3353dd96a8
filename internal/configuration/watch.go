package configuration

import (
	"context"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// releaseSink offers the platform's Release object to the manager.
type releaseSink struct {
	ctx     context.Context
	manager *Manager
}

// Listed implements platform.Sink.
func (s releaseSink) Listed(list platform.List) error {
	s.manager.recordPlatformSuccess()
	for _, object := range list.Items {
		if err := s.offer(object); err != nil {
			return err
		}
	}
	return nil
}

// Watched implements platform.Sink.
func (s releaseSink) Watched(event platform.WatchEvent) error {
	s.manager.recordPlatformSuccess()
	if event.Bookmark || event.Deleted {
		return nil
	}
	return s.offer(event.Object)
}

// Broken implements platform.Sink.
func (s releaseSink) Broken(err error) { s.manager.recordPlatformFailure(err) }

func (s releaseSink) offer(object platform.Object) error {
	if object.Name != api.ReleaseName {
		return nil
	}
	return s.manager.offer(s.ctx, object.Value, config.FromPlatform, s.manager.readPlatformPages)
}

// watchRelease watches the Release in the platform until ctx ends.
func (m *Manager) watchRelease(ctx context.Context) {
	_ = m.platform.Follow(ctx, string(api.KindRelease), api.ReleaseName, releaseSink{ctx: ctx, manager: m})
}

// watchesRelease reports whether this VM is one of those that watch the Release.
func (m *Manager) watchesRelease() bool { return m.ranks().release < releaseWatchers }
