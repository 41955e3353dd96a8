package edge

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// lookAtSettings is the time between two looks at the settings, which may also
// change without a signal.
const lookAtSettings = 2 * time.Second

// current is the settings in force. Addresses and names hold until the next
// start; bounds and times change at once.
type current struct{ value atomic.Pointer[Settings] }

func newCurrent(s Settings) *current {
	c := new(current)
	c.value.Store(&s)
	return c
}

func (c *current) get() Settings { return *c.value.Load() }

// reloader reads the settings again on SIGHUP and now and then.
type reloader struct {
	log     logr.Logger
	read    func() (Settings, error)
	current *current
	signals chan os.Signal
	// broken says that the last reading failed, so that it is logged once.
	broken bool
}

// newReloader takes SIGHUP from now on: it would end the process otherwise.
func newReloader(log logr.Logger, read func() (Settings, error), c *current) *reloader {
	r := &reloader{log: log, read: read, current: c, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

func (r *reloader) run(ctx context.Context) error {
	ticker := time.NewTicker(lookAtSettings)
	defer ticker.Stop()
	defer signal.Stop(r.signals)
	for {
		select {
		case <-r.signals:
			r.again(true)
		case <-ticker.C:
			r.again(false)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// again reads the settings. Those that can't be used leave the former in force.
func (r *reloader) again(asked bool) {
	settings, err := r.read()
	if err != nil {
		if asked || !r.broken {
			telemetry.RelaySettingsBad.Fail(r.log, err)
		}
		r.broken = true
		return
	}
	r.broken = false
	changed := !reflect.DeepEqual(settings, r.current.get())
	if changed {
		r.current.value.Store(&settings)
	}
	if asked || changed {
		telemetry.RelaySettingsRead.Log(r.log, "changed", changed, "asked", asked)
	}
}
