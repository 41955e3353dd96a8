package backends

import "time"

// Pause takes a server's word that it wants no requests of this VM for a span. It returns
// whether that is news.
func (f *Fleet) Pause(now time.Duration, id string, span time.Duration) bool {
	return f.pauses.Ask(now, id, span)
}

// Paused tells whether a server wants no requests of this VM now.
func (f *Fleet) Paused(now time.Duration, id string) bool { return now < f.pauses.Until(id) }
