package node

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// keysDuty loads the keys anew when they change, and watches their end.
type keysDuty struct {
	log  logr.Logger
	vm   string
	file string
	tls  settings.TLS
	keys *peer.Keys
	now  func() time.Time

	unusable bool
	warned   time.Time
	expired  time.Time
}

func addKeys(group *run.Group, p *parts) {
	if p.keys == nil {
		return
	}
	d := &keysDuty{
		log: p.log, vm: p.self.Name, file: p.settings.File, tls: p.settings.TLS, keys: p.keys, now: time.Now,
	}
	actors.AddContext(group, d.run)
}

func keySource(s settings.TLS) peer.KeySource {
	return peer.KeySource{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
}

func (d *keysDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(d.tls.Reload)
	defer ticker.Stop()
	for {
		d.check()
		select {
		case <-ticker.C:
			d.reload()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reload reads the keys again; where their text stands in the settings file,
// that file's section.
func (d *keysDuty) reload() {
	source := keySource(d.tls)
	if d.file != "" {
		if s, err := settings.LoadFile(d.file); err == nil && s.TLS.Set() {
			source = keySource(s.TLS)
		}
	}
	changed, err := d.keys.Reload(source)
	if err != nil && !d.unusable {
		telemetry.KeysUnusable.Fail(d.log, err)
	}
	d.unusable = err != nil
	if changed {
		telemetry.KeysReloaded.Log(d.log, "ends", d.keys.Expiry())
	}
}

// check publishes when the certificate ends, and complains once of each.
func (d *keysDuty) check() {
	ends := d.keys.Expiry()
	left := ends.Sub(d.now())
	metrics.GetOrCreateGauge(fmt.Sprintf(`oleandershunt_tls_certificate_seconds_left{vm=%q}`, d.vm), nil).Set(left.Seconds())
	switch {
	case left <= 0 && !d.expired.Equal(ends):
		d.expired = ends
		telemetry.KeysExpired.Log(d.log, "ended", ends)
	case left > 0 && left < d.tls.WarnBefore && !d.warned.Equal(ends):
		d.warned = ends
		telemetry.KeysExpiring.Log(d.log, "ends", ends)
	}
}
