// Package platform is the client of the platform's object API: HTTP with JSON,
// objects with versions, conditional updates and watches.
package platform

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// Paths of the API.
const (
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch/"
	PathVMs     = "/v1/vms"
)

// HeaderWriteID carries the ID that the writer gives to a write. It is stored in
// the object, so that after a lost response the writer can read the object and
// see whether its write was applied.
const HeaderWriteID = "Write-Id"

// Object is a stored value.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version increases with every write to any object of the store.
	Version history.Version `json:"version"`
	// WriteID is the ID given by the writer of this version.
	WriteID string `json:"writeId,omitempty"`
	// Value is the content, up to MaxValueBytes.
	Value json.RawMessage `json:"value"`
}

// List is the result of a list call.
type List struct {
	// Version is the store's version at the time of the list; a watch can start from it.
	Version history.Version `json:"version"`
	Items   []Object        `json:"items"`
}

// WatchEvent is a change or a bookmark of a watch.
type WatchEvent struct {
	Object Object `json:"object"`
	// Deleted reports that the object was deleted; Object is its last state.
	Deleted bool `json:"deleted,omitempty"`
	// Bookmark marks an event without a change: every change up to Object.Version
	// has been sent. It also serves as a heartbeat of the watch.
	Bookmark bool `json:"bookmark,omitempty"`
}

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// VMState is the platform's view of a VM.
type VMState string

// States in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs. The list may be stale.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"dataCentre"`
	State      VMState `json:"state"`
}

// Errors of calls.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = eris.New("object not found: check kind and name")
	// ErrConflict: the object's version is not the one that the write named.
	ErrConflict = eris.New("object was changed by another writer: read it again and decide anew")
	// ErrCompacted: the start version of the watch has been compacted.
	ErrCompacted = eris.New("watch start is too old: list again and watch from the list's version")
	// ErrUnavailable: the platform did not answer, or not in time. A write may have taken effect.
	ErrUnavailable = eris.New("platform did not answer: try again after a back-off")
	// ErrThrottled: the platform throttles calls. Nothing took effect.
	ErrThrottled = eris.New("platform is throttling: call less often")
	// ErrBudget: the VM's own call budget is exhausted. Nothing was sent.
	ErrBudget = eris.New("budget of platform calls is spent: call less often or raise platform.calls_per_second")
	// ErrUnknownOutcome: responses to a write were lost, and the object does not show whether it
	// took effect.
	ErrUnknownOutcome = eris.New("write may have taken effect: read the object and decide anew")
	// ErrWatchSilent: a watch delivered no event for too long, not even a bookmark.
	ErrWatchSilent = eris.New("watch is silent: watch again from the last version")
	// ErrRefused: the platform rejected the call as invalid; retrying won't help.
	ErrRefused = eris.New("platform refused the call: correct it")
)
