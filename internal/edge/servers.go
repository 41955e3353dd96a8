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

// tidyEvery is the time between two looks for entries that did not come back.
const tidyEvery = 200 * time.Millisecond

// serverList keeps the dispatcher's servers up to date with the store's entries.
type serverList struct {
	parts      Parts
	log        logr.Logger
	dispatcher *relay.Dispatcher
	// registered is told of each entry.
	registered func(backends.Server)
	// lost says that the platform doesn't answer, and no other VM that it answers.
	lost atomic.Bool
	// older says that the platform's last answer was older than what was seen before.
	older atomic.Bool
	// listed is the version of the last list. Only Listed uses it.
	listed history.Version
	// unread are the versions of the entries that name no server to use, by name.
	unread map[string]history.Version
	// told keeps the entries for other VMs, and learns them from those; learns is nil
	// without other VMs.
	told   *mirror.Log
	learns *mirror.Follower
}

var _ objects.Sink = (*serverList)(nil)

func newServerList(p Parts, d *relay.Dispatcher, registered func(backends.Server)) *serverList {
	l := &serverList{parts: p, log: p.Log, dispatcher: d, registered: registered, unread: make(map[string]history.Version)}
	l.told = mirror.NewLog(l, bootclock.Now)
	return l
}

func (l *serverList) run(ctx context.Context) error {
	go l.tidy(ctx)
	if l.learns == nil {
		return l.parts.Store.Follow(ctx, l.parts.Servers.Kind, "", l)
	}
	return l.parts.Store.FollowMirror(ctx, l.parts.Servers.Kind, "", l.told, l.learns)
}

func (l *serverList) tidy(ctx context.Context) {
	ticker := time.NewTicker(tidyEvery)
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

// Listed implements objects.Sink.
func (l *serverList) Listed(list objects.List) error {
	servers := make([]backends.Server, 0, len(list.Items))
	for _, object := range list.Items {
		if server, ok := l.decode(object); ok {
			servers = append(servers, server)
		}
	}
	l.back()
	if l.listed > 0 && l.listed.History() < list.Version.History() {
		telemetry.PlatformCopied.Log(l.log, "kind", l.parts.Servers.Kind, "revision", list.Version.String(), "before", l.listed.String())
	}
	l.listed = list.Version
	l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, servers, list.Version) })
	telemetry.RelayServers.Log(l.log, "listed", len(servers), "revision", list.Version.String())
	return nil
}

// Watched implements objects.Sink.
func (l *serverList) Watched(event objects.WatchEvent) error {
	l.back()
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

// remove takes the word that an entry is gone, or names no server to use.
func (l *serverList) remove(object objects.Object) {
	l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Remove(now, object.Name, object.Version) })
}

// Broken implements objects.Sink.
func (l *serverList) Broken(err error) {
	if errors.Is(err, objects.ErrCompacted) {
		return
	}
	if !l.lost.Swap(true) {
		telemetry.PlatformLost.Log(l.log, "cause", err.Error())
	}
	if older := errors.Is(err, objects.ErrStaleList); older != l.older.Swap(older) && older {
		telemetry.PlatformOlder.Log(l.log, "kind", l.parts.Servers.Kind, "cause", err.Error())
	}
	l.dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { fleet.SetPlatformDown() })
}

func (l *serverList) back() {
	l.older.Store(false)
	if l.lost.Swap(false) {
		telemetry.PlatformBack.Log(l.log)
	}
	l.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.SetPlatformUp(now) })
}

// decode reads an entry. One that names no server to use is left out, with a line for
// each of its versions.
func (l *serverList) decode(object objects.Object) (backends.Server, bool) {
	server, err := l.parts.Decode.Server(object.Name, object.Value)
	if err != nil {
		l.leaveOut(object, err)
		return server, false
	}
	delete(l.unread, object.Name)
	server.Revision = object.Version
	l.registered(server)
	return server, true
}

// unreadKept bounds the entries that are remembered as left out.
const unreadKept = 1024

func (l *serverList) leaveOut(object objects.Object, err error) {
	if version, told := l.unread[object.Name]; told && version == object.Version {
		return
	}
	if len(l.unread) >= unreadKept {
		clear(l.unread)
	}
	l.unread[object.Name] = object.Version
	metrics.GetOrCreateCounter("oleandershunt_relay_entries_left_out_total").Inc()
	telemetry.RelayServers.Fail(l.log, err, "server", object.Name, "revision", object.Version.String())
}
