package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// defaultBookmark is the interval between bookmarks of a watch that asks for none.
const defaultBookmark = 10 * time.Second

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a version", http.StatusBadRequest)
		return
	}
	if p.store.since(r.PathValue("kind"), "", history.Version(from)).compacted {
		http.Error(w, "version is compacted", http.StatusGone)
		return
	}
	bookmark, err := time.ParseDuration(r.URL.Query().Get("bookmark"))
	if err != nil || bookmark <= 0 {
		bookmark = defaultBookmark
	}
	p.streamWatch(w, r, history.Version(from), bookmark)
}

// streamWatch sends changes as they come and a bookmark at intervals. It ends
// the watch when the changes that it has yet to send are compacted away.
func (p *Platform) streamWatch(w http.ResponseWriter, r *http.Request, from history.Version, bookmark time.Duration) {
	ticker := time.NewTicker(bookmark)
	defer ticker.Stop()
	kind, prefix := r.PathValue("kind"), r.URL.Query().Get("prefix")
	lines := watchLines{encoder: json.NewEncoder(w), control: http.NewResponseController(w)}
	due := false
	if !lines.flush() {
		return
	}
	for {
		_, faultsSet := p.faults.towards(r)
		if !p.faults.holdWatch(r) {
			return
		}
		next := p.store.since(kind, prefix, from)
		if next.compacted || !lines.send(next, due) || !lines.flush() {
			return
		}
		from = next.version
		select {
		case <-next.more:
			due = false
		case <-faultsSet:
			due = false
		case <-ticker.C:
			due = true
		case <-r.Context().Done():
			return
		}
	}
}

type watchLines struct {
	encoder *json.Encoder
	control *http.ResponseController
}

func (l watchLines) send(next changes, bookmark bool) bool {
	for _, event := range next.events {
		if l.encoder.Encode(event) != nil {
			return false
		}
	}
	if !bookmark || len(next.events) > 0 {
		return true
	}
	mark := platform.WatchEvent{Object: platform.Object{Version: next.version}, Bookmark: true}
	return l.encoder.Encode(mark) == nil
}

func (l watchLines) flush() bool { return l.control.Flush() == nil }
