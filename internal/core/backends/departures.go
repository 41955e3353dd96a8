package backends

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// Departure is the word that a server leaves.
type Departure struct {
	ID string `json:"id"`
	// Revision is the platform's revision by which its entry was gone. An entry
	// written later shows that the server lives: it was only cut off. 0 says that it
	// drains or was followed by another process, from which none comes back.
	Revision history.Version `json:"revision,omitempty"`
}

// departure is what is remembered of a server that left.
type departure struct {
	at       time.Duration
	revision history.Version
	// copied says that its entry went in a former history of the platform, and came again, if
	// at all, with the copy from which the present one began.
	copied bool
}

// leftKept is how long a server that left is remembered: longer than any answer
// of the platform may be old.
const leftKept = 10 * time.Minute

// mayReturn tells whether a server may be used that was seen to leave: its entry was
// written after that, and no other process is at its address. A sign of life that
// was under way for long looks like a return, too.
func (f *Fleet) mayReturn(now time.Duration, server Server) bool {
	left, ok := f.left[server.ID]
	if !ok {
		return true
	}
	if left.revision == 0 || server.Revision <= left.revision {
		return false
	}
	for _, k := range f.index.addresses[server.Address] {
		if k.ID != server.ID {
			f.leaves(now, Departure{ID: server.ID})
			return false
		}
	}
	delete(f.left, server.ID)
	return true
}

// Remove takes the word that the entry of a name isn't there any more, or names no
// server, by a revision. Whatever life of the server it stood for is gone.
func (f *Fleet) Remove(now time.Duration, name string, revision history.Version) {
	for _, k := range slices.Clone(f.index.names[name]) {
		if k.Revision <= revision {
			f.remove(now, k.ID, revision)
		}
	}
}

func (f *Fleet) remove(now time.Duration, id string, revision history.Version) {
	k := f.servers[id]
	if f.outage || (f.restored > 0 && now < f.restored+LapseGrace) {
		k.missing = revision
		return
	}
	f.drop(now, Departure{ID: id, Revision: revision})
}

func (f *Fleet) drop(now time.Duration, gone Departure) {
	f.forget(gone.ID)
	f.leaves(now, gone)
}

// SaysLeaving takes a server's own word that it leaves. Its process never comes back from
// that, whatever an entry says. It returns whether that is news.
func (f *Fleet) SaysLeaving(now time.Duration, id string) bool {
	left, known := f.left[id]
	f.leaves(now, Departure{ID: id})
	if k, ok := f.servers[id]; ok {
		k.Draining = true
	}
	return !known || left.revision > 0
}

// leaves notes that a server leaves or has left. That it drains stays true.
func (f *Fleet) leaves(now time.Duration, gone Departure) {
	known, ok := f.left[gone.ID]
	if !ok {
		f.news = append(f.news, gone)
	}
	if ok && known.revision == 0 {
		gone.Revision = 0
	}
	f.left[gone.ID] = departure{at: now, revision: gone.Revision}
}

// News lists the servers that were found to leave since it was last asked, for VMs
// that the platform doesn't tell.
func (f *Fleet) News() []Departure {
	news := f.news
	f.news = nil
	return news
}

// Leave takes another VM's word that a server leaves or has left. What this VM read
// later goes before it.
func (f *Fleet) Leave(now time.Duration, gone Departure) {
	copied := gone.Revision > 0 && gone.Revision.History() < f.copied.History()
	if copied {
		gone.Revision = f.copied
	}
	k, ok := f.servers[gone.ID]
	if ok && gone.Revision > 0 && k.Revision > gone.Revision {
		return
	}
	if left, known := f.left[gone.ID]; !known || gone.Revision == 0 || gone.Revision > left.revision && left.revision > 0 {
		f.left[gone.ID] = departure{at: now, revision: gone.Revision, copied: copied}
	}
	if ok {
		k.Draining = true
	}
}
