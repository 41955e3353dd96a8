package claims

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// Kinds of platform objects.
const (
	// KindShard is the kind of the objects that store the shards' heads.
	KindShard = "ClaimShard"
	// KindPage is the kind of the objects that store sealed parts of the shards' journals.
	KindPage = "ClaimPage"
	// KindLayout is the kind of the object that stores the number of shards, which
	// never changes.
	KindLayout = "ClaimLayout"

	layoutName = "layout"
)

// Store is the part of the platform's API that claims use.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind, name string, value any) (platform.Object, error)
	Update(ctx context.Context, kind, name string, version history.Version, value any) (platform.Object, error)
	Delete(ctx context.Context, kind, name string, version history.Version) error
}

// Timeouts of calls.
const (
	// storeTimeout bounds one call to the platform. A write that takes longer has
	// an unknown outcome, and its ops go to the standbys.
	storeTimeout = 600 * time.Millisecond
	// pageTimeout bounds a call that reads or writes a page.
	pageTimeout = 2 * time.Second
	// appendTimeout bounds a call to a standby.
	appendTimeout = 400 * time.Millisecond
)

// Layout defines how keys are distributed over shards. It must not change: a key
// would move to a shard that does not know it and could grant it again.
type Layout struct {
	// ShardsPerDataCentre is the number of shards of each home data centre.
	ShardsPerDataCentre int `json:"shardsPerDataCentre"`
}

// readLayout reads the layout. The first VM of a deployment creates it.
func (s *Service) readLayout(ctx context.Context) (Layout, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, KindLayout, layoutName)
	if errors.Is(err, platform.ErrNotFound) {
		object, err = s.store.Create(ctx, KindLayout, layoutName, Layout{s.settings.ShardsPerDataCentre})
	}
	if errors.Is(err, platform.ErrConflict) {
		// Another VM has just created it.
		object, err = s.store.Get(ctx, KindLayout, layoutName)
	}
	if err != nil {
		return Layout{}, err
	}
	var layout Layout
	if err := json.Unmarshal(object.Value, &layout); err != nil {
		return Layout{}, err
	}
	if layout.ShardsPerDataCentre < 1 {
		return Layout{}, ErrInvalidLayout
	}
	return layout, nil
}

func (s *Service) readHead(ctx context.Context, shard string) claim.HeadRead {
	sent := s.now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, KindShard, shard)
	if errors.Is(err, platform.ErrNotFound) {
		return claim.HeadRead{Sent: sent}
	}
	read := claim.HeadRead{Sent: sent, Version: uint64(object.Version)}
	if err != nil || json.Unmarshal(object.Value, &read.Head) != nil {
		return claim.HeadRead{Sent: sent, Failed: true}
	}
	return read
}

func (s *Service) writeHead(ctx context.Context, shard string, write claim.WriteHead) claim.HeadWritten {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var object platform.Object
	var err error
	if write.IfVersion == 0 {
		object, err = s.store.Create(ctx, KindShard, shard, write.Head)
	} else {
		object, err = s.store.Update(ctx, KindShard, shard, history.Version(write.IfVersion), write.Head)
	}
	s.metrics.headWrite.UpdateDuration(started)
	return claim.HeadWritten{Number: write.Number, Result: writeResult(err), Version: uint64(object.Version)}
}

// writeResult classifies the outcome of a write. Unless an error proves that the
// write failed, it may have taken effect.
func writeResult(err error) claim.Result {
	switch {
	case err == nil:
		return claim.ResultDone
	case errors.Is(err, platform.ErrUnknownOutcome), errors.Is(err, platform.ErrUnavailable):
		return claim.ResultUnknown
	case errors.Is(err, platform.ErrConflict):
		return claim.ResultConflict
	case errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrBudget):
		return claim.ResultRefused
	default:
		return claim.ResultUnknown
	}
}

func (s *Service) readPages(ctx context.Context, names []string) claim.PagesRead {
	read := claim.PagesRead{Pages: make(map[string]claim.Page, len(names))}
	for _, name := range names {
		page, err := s.readPage(ctx, name)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return claim.PagesRead{Failed: true}
		}
		read.Pages[name] = page
	}
	return read
}

func (s *Service) readPage(ctx context.Context, name string) (claim.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, KindPage, name)
	if err != nil {
		return claim.Page{}, err
	}
	var page claim.Page
	err = json.Unmarshal(object.Value, &page)
	return page, err
}

func (s *Service) writePage(ctx context.Context, write claim.WritePage) claim.PageWritten {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	_, err := s.store.Create(ctx, KindPage, write.Ref.Name, write.Page)
	return claim.PageWritten{Ref: write.Ref, Result: writeResult(err)}
}

// deletePage deletes a page that no head refers to. Errors are ignored: a page that
// remains only takes up storage in the platform.
func (s *Service) deletePage(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, KindPage, name)
	if err != nil {
		return
	}
	_ = s.store.Delete(ctx, KindPage, name, object.Version)
}
