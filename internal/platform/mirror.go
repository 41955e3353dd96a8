package platform

import (
	"context"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// errMirrorAvailable ends a watch of the platform once other VMs can provide the changes.
var errMirrorAvailable = eris.New("other VMs read the platform: switching to the mirror")

// Mirror provides the objects through other VMs that read them from the platform.
// With it, the number of calls to the platform doesn't grow with the number of VMs.
type Mirror interface {
	// Next waits for changes after a version; 0 requests all objects. It returns false
	// if this VM must read the platform itself: it is one of the readers, or no other VM
	// can provide the changes.
	Next(ctx context.Context, version history.Version) (Page, bool)
	// Reads reports whether this VM is one of those that read the platform for others.
	// Any other VM reads the platform until the first bookmark of a watch and then tries
	// Next again.
	Reads() bool
	// Answered records that the platform itself has answered this VM.
	Answered()
}

// Page is a set of changes, or a full snapshot, from a Mirror.
type Page struct {
	// Version is the version up to which the state is complete after this page.
	Version history.Version
	// Whole reports that Events is a snapshot of all objects.
	Whole  bool
	Events []WatchEvent
}

// list converts a snapshot page to a list.
func (p Page) list() List {
	list := List{Version: p.Version, Items: make([]Object, 0, len(p.Events))}
	for _, event := range p.Events {
		list.Items = append(list.Items, event.Object)
	}
	return list
}

// readMirror handles one page of the mirror. It returns false if the platform must be read.
func (f *follower) readMirror(ctx context.Context) bool {
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
		// A snapshot older than the latest version seen is discarded, and the platform is read.
		return f.handleList(page.list()) == nil
	}
	events := append(page.Events, WatchEvent{Object: Object{Kind: f.kind, Version: page.Version}, Bookmark: true})
	for _, event := range events {
		if f.handleEvent(event) != nil {
			return false
		}
	}
	return true
}
