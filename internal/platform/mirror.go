package platform

import (
	"context"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// errTurnOver ends a watch of a VM that need not read the platform any more.
var errTurnOver = eris.New("other VMs read the platform: learn from them")

// Mirror is other VMs that read the same objects, from which this one learns them.
//
// What it gains: calls of the platform don't grow with the VMs.
type Mirror interface {
	// Next waits for changes after a version; 0 asks for everything. It returns false
	// when this VM is to read the platform: it is one of those that do, or nobody else
	// can tell.
	Next(ctx context.Context, version history.Version) (Page, bool)
	// Reads tells whether this VM is one of those that read the platform for others.
	// Every other VM reads until the first answer of a watch, and then tries Next again.
	Reads() bool
	// Answered says that the platform itself has answered this VM.
	Answered()
}

// Page is what a Mirror brings.
type Page struct {
	// Version is up to which everything is known with this page.
	Version history.Version
	// Whole says that Events are all objects there are.
	Whole  bool
	Events []WatchEvent
}

// list is a whole page as a list.
func (p Page) list() List {
	list := List{Version: p.Version, Items: make([]Object, 0, len(p.Events))}
	for _, event := range p.Events {
		list.Items = append(list.Items, event.Object)
	}
	return list
}

// mirrored takes one page of the mirror. It returns false when the platform is to be read.
func (f *follower) mirrored(ctx context.Context) bool {
	if f.mirror == nil {
		return false
	}
	known := f.version
	if !f.listed {
		known = 0
	}
	page, ok := f.mirror.Next(ctx, known)
	if !ok {
		return false
	}
	if page.Whole {
		// One that is older than what was seen is thrown away; the platform is read then.
		return f.takeList(page.list()) == nil
	}
	events := append(page.Events, WatchEvent{Object: Object{Kind: f.kind, Version: page.Version}, Bookmark: true})
	for _, event := range events {
		if f.take(event) != nil {
			return false
		}
	}
	return true
}
