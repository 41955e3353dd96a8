// Package edge is the process of a VM that forwards opaque requests: it keeps
// the configuration and the list of backend servers up to date from an object
// store, serves callers, orders the layers of its data centre's servers while it
// holds that role, and stops without cutting requests.
package edge

import (
	"time"

	"github.com/rotisserie/eris"

	objects "oleandershunt.example/oleandershunt/internal/platform"
)

// Settings are what one VM needs to know at its start.
type Settings struct {
	// VM and DataCentre are the names of the VM and of the place where it stands.
	VM, DataCentre string
	// Host is the VM's IP address.
	Host string
	// Callers, Ready and Peers are the addresses, host:port, for callers, for the
	// balancer's question and for other VMs.
	Callers, Ready, Peers string
	// Seeds are addresses at which other VMs may be found. Any may be stale.
	Seeds []string
	// Store is the address of the object store, host:port.
	Store string
	// MemoryMB is the memory that the process may take.
	MemoryMB float64
	// Cores is the processor time that the VM has, in cores. VMs with most of it take the
	// duties of their data centre. 0 where it isn't known.
	Cores float64
	// FirstStart says that all VMs of the deployment start for the first time.
	FirstStart bool
	// KeyTrust is the age of the proof up to which keys are accepted. A key that
	// was taken away must open nothing later than this.
	KeyTrust time.Duration
	// ApplyWithin is how soon a new configuration must be in force. 2 s when it is 0.
	ApplyWithin time.Duration
	// Contact is how long after a disturbance a VM must be up to date again. 3 s when it
	// is 0.
	Contact time.Duration
	// Signs is the time between two signs of life of a backend server. 0 is the usual one.
	Signs time.Duration
	// Grace is the time from a planned stop to the kill.
	Grace time.Duration
	// RepeatRatio, RepeatSlack and RepeatWindow bound the repeats of all VMs.
	RepeatRatio, RepeatSlack float64
	RepeatWindow             time.Duration
	// OperationsPort is where metrics are served. 0 serves none.
	OperationsPort int
}

// The defaults of times that a deployment needs not set.
const (
	defaultApplyWithin = 2 * time.Second
	defaultContact     = 3 * time.Second
)

// WithDefaults sets what is left out.
func (s Settings) WithDefaults() Settings {
	if s.ApplyWithin <= 0 {
		s.ApplyWithin = defaultApplyWithin
	}
	if s.Contact <= 0 {
		s.Contact = defaultContact
	}
	return s
}

// ErrSettings marks settings that can't be used.
var ErrSettings = eris.New("setting is missing: give it")

// Validate returns an error that names the first setting that can't be used.
func (s Settings) Validate() error {
	required := []struct {
		name string
		set  bool
	}{
		{"name of the VM", s.VM != ""},
		{"data centre", s.DataCentre != ""},
		{"address for callers", s.Callers != ""},
		{"address for the balancer", s.Ready != ""},
		{"address of the store", s.Store != ""},
		{"grace of a stop", s.Grace > 0},
		{"window of repeats", s.RepeatWindow > 0},
	}
	for _, setting := range required {
		if !setting.set {
			return eris.Wrap(ErrSettings, setting.name)
		}
	}
	return nil
}

// The pace of the store's calls.
const (
	// ConnectTimeout bounds a connect to the store or a server; either answers in
	// milliseconds.
	ConnectTimeout = 400 * time.Millisecond
	// callTimeout bounds a call of the store, which answers in 4 ms and, on a bad
	// day, a hundred times later.
	callTimeout = 900 * time.Millisecond
	// catchUp is what is left of the time in which a VM must be up to date again when
	// a watch ends without changes: a watch that went silent is found 0.7 s later, and
	// the list is read then. Every call is paid for, so a watch is as long as that
	// allows.
	catchUp = time.Second
	// shortestBookmark and longestBookmark bound the time of a watch. VMs that learn from
	// this one believe it for 3 s after the platform's last answer.
	shortestBookmark = 500 * time.Millisecond
	longestBookmark  = 2 * time.Second
	// gather is how long changes of servers' entries are gathered after the first: they
	// come in bursts, and operators expect each to be known within two seconds. Half of
	// the calls on a day with trouble were answers with one change.
	gather = 250 * time.Millisecond
	// longestBackoff bounds the wait after failures: what was missed must be known
	// within two seconds of the store's return.
	longestBackoff = 400 * time.Millisecond
	// callsPerSecond and callBurst bound this VM's calls. Undisturbed it makes two.
	callsPerSecond = 20
	callBurst      = 20
)

// StoreOptions are the options of the store's client.
func StoreOptions(s Settings) []objects.Option {
	return []objects.Option{
		objects.WithCallTimeout(callTimeout),
		objects.WithBookmark(min(max(s.Contact-catchUp, shortestBookmark), longestBookmark)),
		objects.WithGather(gather),
		objects.WithLongestBackoff(longestBackoff),
		objects.WithBudget(callsPerSecond, callBurst),
	}
}
