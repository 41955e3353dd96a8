package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/mirror"
	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// cleanupInterval is the interval at which entries that were not registered again are
// removed.
const cleanupInterval = 200 * time.Millisecond

// serverList keeps the dispatcher's servers in sync with the platform's entries.
type serverList struct {
	parts      Options
	log        logr.Logger
	dispatcher *relay.Dispatcher
	// onServer is called with each decoded entry.
	onServer func(backends.Server)
	// platformLost is set while neither the platform answers nor another VM that it
	// answers.
	platformLost atomic.Bool
	// platformOlder is set while the platform's last response was older than an earlier
	// one.
	platformOlder atomic.Bool
	// listVersion is the version of the last list. Only HandleList uses it.
	listVersion history.Version
	// invalidEntries are the versions of the entries that describe no usable server, by
	// name.
	invalidEntries map[string]history.Version
	// entryLog provides the entries to other VMs. follower learns them from other VMs; it
	// is nil without any.
	entryLog *mirror.Log
	follower *mirror.Follower
}

var _ objects.Sink = (*serverList)(nil)

func newServerList(p Options, d *relay.Dispatcher, registered func(backends.Server)) *serverList {
	l := &serverList{parts: p, log: p.Log, dispatcher: d, onServer: registered, invalidEntries: make(map[string]history.Version)}
	l.entryLog = mirror.NewLog(l, bootclock.Now)
	return l
}

func (l *serverList) run(ctx context.Context) error {
	go l.removeExpired(ctx)
	if l.follower == nil {
		return l.parts.Store.Follow(ctx, l.parts.Servers.Kind, "", l)
	}
	return l.parts.Store.FollowMirror(ctx, l.parts.Servers.Kind, "", l.entryLog, l.follower)
}

func (l *serverList) removeExpired(ctx context.Context) {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.RemoveExpired(now) })
		case <-ctx.Done():
			return
		}
	}
}

// HandleList implements objects.Sink.
func (l *serverList) HandleList(list objects.List) error {
	servers := make([]backends.Server, 0, len(list.Items))
	for _, object := range list.Items {
		if server, ok := l.decode(object); ok {
			servers = append(servers, server)
		}
	}
	l.markPlatformUp()
	if l.listVersion > 0 && l.listVersion.History() < list.Version.History() {
		telemetry.PlatformCopied.Log(l.log, "kind", l.parts.Servers.Kind, "revision", list.Version.String(), "before", l.listVersion.String())
	}
	l.listVersion = list.Version
	l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, servers, list.Version) })
	telemetry.RelayServers.Log(l.log, "listed", len(servers), "revision", list.Version.String())
	return nil
}

// HandleEvent implements objects.Sink.
func (l *serverList) HandleEvent(event objects.WatchEvent) error {
	l.markPlatformUp()
	if event.Bookmark {
		return nil
	}
	if event.Deleted {
		l.remove(event.Object)
		telemetry.RelayServers.Log(l.log, "server", event.Object.Name, "state", "gone", "revision", event.Object.Version.String())
		return nil
	}
	server, ok := l.decode(event.Object)
	if !ok {
		l.remove(event.Object)
		return nil
	}
	l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Put(now, server) })
	telemetry.RelayServers.Log(l.log, "server", server.ID, "dataCentre", server.DataCentre, "draining", server.Draining,
		"holds", server.LayerRanges, "revision", event.Object.Version.String())
	return nil
}

// remove removes the server of an entry that was deleted or describes no usable server.
func (l *serverList) remove(object objects.Object) {
	l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Remove(now, object.Name, object.Version) })
}

// HandleError implements objects.Sink.
func (l *serverList) HandleError(err error) {
	if errors.Is(err, objects.ErrCompacted) {
		return
	}
	if !l.platformLost.Swap(true) {
		telemetry.PlatformLost.Log(l.log, "cause", err.Error())
	}
	if older := errors.Is(err, objects.ErrStaleList); older != l.platformOlder.Swap(older) && older {
		telemetry.PlatformOlder.Log(l.log, "kind", l.parts.Servers.Kind, "cause", err.Error())
	}
	l.dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { fleet.SetPlatformDown() })
}

func (l *serverList) markPlatformUp() {
	l.platformOlder.Store(false)
	if l.platformLost.Swap(false) {
		telemetry.PlatformBack.Log(l.log)
	}
	l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.SetPlatformUp(now) })
}

// decode decodes an entry. An entry that describes no usable server is skipped and logged
// once for each of its versions.
func (l *serverList) decode(object objects.Object) (backends.Server, bool) {
	server, err := l.parts.Decode.Server(object.Name, object.Value)
	if err != nil {
		l.reportInvalid(object, err)
		return server, false
	}
	delete(l.invalidEntries, object.Name)
	server.Revision = object.Version
	l.onServer(server)
	return server, true
}

// maxInvalidEntries bounds the number of remembered invalid entries.
const maxInvalidEntries = 1024

func (l *serverList) reportInvalid(object objects.Object, err error) {
	if version, reported := l.invalidEntries[object.Name]; reported && version == object.Version {
		return
	}
	if len(l.invalidEntries) >= maxInvalidEntries {
		clear(l.invalidEntries)
	}
	l.invalidEntries[object.Name] = object.Version
	metrics.GetOrCreateCounter("oleandershunt_relay_entries_left_out_total").Inc()
	telemetry.RelayServers.Fail(l.log, err, "server", object.Name, "revision", object.Version.String())
}
