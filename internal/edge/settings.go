// Package edge is the process of a VM that forwards opaque requests: it keeps the
// configuration and the list of backend servers up to date from an object store, serves
// callers, orders the layers of its data centre's servers while it holds that role, and
// shuts down without cutting requests.
package edge

import (
	"time"

	"github.com/rotisserie/eris"

	objects "oleandershunt.example/oleandershunt/internal/platform"
)

// Settings are the settings of one VM.
type Settings struct {
	// VM and DataCentre are the names of the VM and of its data centre.
	VM, DataCentre string
	// Host is the VM's IP address.
	Host string
	// Callers, Ready and Peers are the listen addresses, host:port, for callers, for the
	// load balancer's health checks and for other VMs.
	Callers, Ready, Peers string
	// Seeds are addresses at which other VMs may be found. Any of them may be stale.
	Seeds []string
	// Store is the address of the object store, host:port.
	Store string
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64
	// Cores is the VM's CPU capacity in cores. The VMs with the most capacity take the
	// roles of their data centre. 0 when it is unknown.
	Cores float64
	// FirstStart is set when all VMs of the deployment start for the first time.
	FirstStart bool
	// KeyTrust is the maximum age of the configuration's proof at which keys are accepted.
	// A revoked key must not be accepted for longer than this.
	KeyTrust time.Duration
	// ApplyWithin is the time within which a new configuration must be in force. 2 s when
	// it is 0.
	ApplyWithin time.Duration
	// Contact is the time within which a VM must be up to date again after a disturbance.
	// 3 s when it is 0.
	Contact time.Duration
	// Signs is the heartbeat interval of backend servers. 0 selects the default.
	Signs time.Duration
	// Grace is the time from the start of a graceful shutdown to the kill.
	Grace time.Duration
	// RepeatRatio, RepeatSlack and RepeatWindow are the retry budget of all VMs together.
	RepeatRatio, RepeatSlack float64
	RepeatWindow             time.Duration
	// OperationsPort is the port that serves metrics. 0 serves none.
	OperationsPort int
}

// Defaults of optional times.
const (
	defaultConfigApplyTime = 2 * time.Second
	defaultResyncTime      = 3 * time.Second
)

// WithDefaults returns the settings with defaults for optional times that are not set.
func (s Settings) WithDefaults() Settings {
	if s.ApplyWithin <= 0 {
		s.ApplyWithin = defaultConfigApplyTime
	}
	if s.Contact <= 0 {
		s.Contact = defaultResyncTime
	}
	return s
}

// ErrSettings marks a required setting that is missing.
var ErrSettings = eris.New("setting is missing: give it")

// Validate returns an error, which wraps ErrSettings, that names the first required
// setting that is missing.
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

// Limits of the object store's client.
const (
	// ConnectTimeout bounds a connection attempt to the store or to a server; either
	// answers in milliseconds.
	ConnectTimeout = 400 * time.Millisecond
	// callTimeout bounds a call of the store, which answers in 4 ms and, on a bad day, a
	// hundred times later.
	callTimeout = 900 * time.Millisecond
	// resyncMargin is what remains of the time within which a VM must be up to date again
	// when a watch ends without changes: a silent watch is detected 0.7 s later, and the
	// list is read then. Every call is billed, so a watch lasts as long as that allows.
	resyncMargin = time.Second
	// minBookmark and maxBookmark bound the duration of a watch. VMs that learn from this
	// one trust it for 3 s after the platform's last response.
	minBookmark = 500 * time.Millisecond
	maxBookmark = 2 * time.Second
	// gatherTime is how long changes of server entries are batched after the first one:
	// they come in bursts, and operators expect each to be known within two seconds. On a
	// day with failures, half of the calls returned a single change.
	gatherTime = 250 * time.Millisecond
	// maxBackoff bounds the retry delay: missed changes must be known within two seconds
	// of the store's return.
	maxBackoff = 400 * time.Millisecond
	// callsPerSecond and callBurst bound this VM's calls. Without failures it makes two a
	// second.
	callsPerSecond = 20
	callBurst      = 20
)

// StoreOptions returns the options of the store's client.
func StoreOptions(s Settings) []objects.Option {
	return []objects.Option{
		objects.WithCallTimeout(callTimeout),
		objects.WithBookmark(min(max(s.Contact-resyncMargin, minBookmark), maxBookmark)),
		objects.WithGather(gatherTime),
		objects.WithLongestBackoff(maxBackoff),
		objects.WithBudget(callsPerSecond, callBurst),
	}
}
