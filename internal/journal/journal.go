// Package journal keeps the core's notes about recent requests in memory, so
// that an operator can have a request explained.
package journal

import (
	"slices"
	"sync"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Bounds of a journal.
const (
	// DefaultRequests is the number of requests kept without a setting.
	DefaultRequests = 4096
	// MaxNotes is the number of notes kept of one request. Of a request with
	// more, the first half and the newest are kept.
	MaxNotes = 32
)

// Journal is a ring of requests. It is safe for concurrent use.
type Journal struct {
	mu    sync.Mutex
	notes map[request.ID][]core.Note
	// ring holds the requests in order of their first note.
	ring []request.ID
	next int
}

// New makes a journal that keeps the notes of the newest requests.
func New(requests int) *Journal {
	return &Journal{
		notes: make(map[request.ID][]core.Note),
		ring:  make([]request.ID, max(requests, 1)),
	}
}

// Add keeps a note, and forgets the oldest request when the journal is full.
func (j *Journal) Add(note core.Note) {
	j.mu.Lock()
	defer j.mu.Unlock()
	notes, known := j.notes[note.Request]
	if !known {
		delete(j.notes, j.ring[j.next])
		j.ring[j.next] = note.Request
		j.next = (j.next + 1) % len(j.ring)
	}
	if len(notes) >= MaxNotes {
		notes = slices.Delete(notes, MaxNotes/2, MaxNotes/2+1)
	}
	j.notes[note.Request] = append(notes, note)
}

// Of returns the notes about a request, oldest first. It is empty when the
// request is not known or has been forgotten.
func (j *Journal) Of(id request.ID) []core.Note {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.notes[id])
}
