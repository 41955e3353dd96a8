// Package platform is the client of the platform's object API: HTTP with JSON,
// objects with versions, conditional updates and watches.
package platform

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// The paths of the API.
const (
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch/"
	PathVMs     = "/v1/vms"
)

// HeaderWriteID carries the writer's own id of a write, which comes back in
// the object: after a lost answer the writer reads the object and knows
// whether the write in force is its own.
const HeaderWriteID = "Write-Id"

// Object is a stored value.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version grows with every write to any object of the store.
	Version history.Version `json:"version"`
	// WriteID is the id given by the writer of this version.
	WriteID string `json:"writeId,omitempty"`
	// Value is the content, up to MaxValueBytes.
	Value json.RawMessage `json:"value"`
}

// List is the answer to a list call.
type List struct {
	// Version is the store's version at the time of the list; a watch goes on from it.
	Version history.Version `json:"version"`
	Items   []Object        `json:"items"`
}

// WatchEvent is one line of a watch.
type WatchEvent struct {
	Object Object `json:"object"`
	// Deleted says that the object is gone; Object then has its last state.
	Deleted bool `json:"deleted,omitempty"`
	// Bookmark says that nothing changed: every change up to Object.Version has
	// been sent. It shows that the watch is alive.
	Bookmark bool `json:"bookmark,omitempty"`
}

// MaxValueBytes bounds the value of an object.
const MaxValueBytes = 1 << 20

// VMState is the platform's view of a VM.
type VMState string

// The states in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs, which lags.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"dataCentre"`
	State      VMState `json:"state"`
}

// The kinds of failure of a call.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = eris.New("object not found: check kind and name")
	// ErrConflict: the object's version is not the one that the write named.
	ErrConflict = eris.New("object was changed by another writer: read it again and decide anew")
	// ErrCompacted: the watch's start version is no longer kept.
	ErrCompacted = eris.New("watch start is too old: list again and watch from the list's version")
	// ErrUnavailable: the platform did not answer, or not in time. A write may have taken effect.
	ErrUnavailable = eris.New("platform did not answer: try again after a back-off")
	// ErrThrottled: the platform refuses calls for the moment. Nothing took effect.
	ErrThrottled = eris.New("platform is throttling: call less often")
	// ErrBudget: the VM's own budget of calls is spent. Nothing was sent.
	ErrBudget = eris.New("budget of platform calls is spent: call less often or raise platform.calls_per_second")
	// ErrUnknownOutcome: answers to a write were lost, and the object does not show what came of it.
	ErrUnknownOutcome = eris.New("write may have taken effect: read the object and decide anew")
	// ErrSilent: a watch carried no line for too long, not even a bookmark.
	ErrSilent = eris.New("watch is silent: watch again from the last version")
	// ErrRefused: the platform will not take the call as it is.
	ErrRefused = eris.New("platform refused the call: correct it")
)
