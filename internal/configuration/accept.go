package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// gatherTime lets changes written together be accepted together.
	gatherTime = 50 * time.Millisecond
	// rankTime is how much later each rank tries than the one before it. The
	// first rank has mostly accepted by then, and the others need not try.
	rankTime = 600 * time.Millisecond
	// noticeCapacity bounds what the watches have seen and the acceptor has not.
	noticeCapacity = 256
)

// notice is what a watch of one kind of records tells the acceptor.
type notice struct {
	kind  api.Kind
	list  *platform.List
	event *platform.WatchEvent
}

// recordSink passes one kind's records on.
type recordSink struct {
	ctx     context.Context
	manager *Manager
	kind    api.Kind
	notices chan<- notice
}

// Listed implements platform.Sink.
func (s recordSink) Listed(list platform.List) error {
	return s.pass(notice{kind: s.kind, list: &list})
}

// Watched implements platform.Sink.
func (s recordSink) Watched(event platform.WatchEvent) error {
	return s.pass(notice{kind: s.kind, event: &event})
}

// Held implements platform.Holder by the records in force. A record's version
// decides what is in force, so its spelling in the platform isn't needed.
func (s recordSink) Held(name string, version uint64) json.RawMessage {
	inForce, _ := s.manager.store.current()
	record := inForce.set.Record(s.kind, name)
	if record == nil || record.Version != version {
		return nil
	}
	return record.Raw
}

// Broken implements platform.Sink.
func (s recordSink) Broken(err error) { s.manager.platformBroken(err) }

func (s recordSink) pass(n notice) error {
	s.manager.platformAnswers()
	select {
	case s.notices <- n:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// accepts tells whether this VM is one of those that accept records.
func (m *Manager) accepts() bool { return m.acceptRank() < acceptors }

// acceptRank is this VM's place among those that accept. Any VM may: the
// release's conditional update settles a race, ranks only make it rare.
func (m *Manager) acceptRank() int { return m.ranks().accept }

// accept watches the operators' records and accepts them until ctx ends.
func (m *Manager) accept(ctx context.Context) {
	// With the release in force first, the lists that follow share its records.
	// If it can't be read, the first attempt reads it.
	_ = m.readRelease(ctx)
	a := &acceptor{
		Manager: m,
		view:    config.NewView(),
		listed:  make(map[api.Kind]bool),
		backoff: m.platform.NewBackoff(),
	}
	inForce, _ := m.store.current()
	a.base = inForce.set
	notices := make(chan notice, noticeCapacity)
	for _, kind := range api.OperatorKinds() {
		sink := recordSink{ctx: ctx, manager: m, kind: kind, notices: notices}
		defer start(ctx, func(ctx context.Context) {
			_ = m.platform.Follow(ctx, string(kind), "", sink)
		}).stop()
	}
	a.run(ctx, notices)
}

// acceptor is the duty of accepting. It is used from one goroutine.
type acceptor struct {
	*Manager
	view   *config.View
	listed map[api.Kind]bool
	// base is the set that the view is compared with.
	base *config.Set
	// readable is what the live VMs could read when last looked at.
	readable map[string][]string
	due      <-chan time.Time
	backoff  *platform.Backoff
}

func (a *acceptor) run(ctx context.Context, notices <-chan notice) {
	look := a.clock.After(a.jittered(roleInterval))
	for {
		_, changed := a.store.current()
		a.rebase()
		select {
		case n := <-notices:
			if a.take(n) {
				a.schedule()
			}
		case <-changed:
			a.rebase()
		case <-look:
			look = a.clock.After(a.jittered(roleInterval))
			a.lookAtVMs()
		case <-a.due:
			a.due = nil
			a.attempt(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// take brings a notice into the view, and tells whether it may call for an attempt.
func (a *acceptor) take(n notice) bool {
	if n.list != nil {
		a.listed[n.kind] = true
		return a.view.ApplyList(n.kind, uint64(n.list.Version), changesOf(n.list.Items), a.base)
	}
	if n.event.Bookmark {
		a.view.ApplyBookmark(n.kind, uint64(n.event.Object.Version))
		return false
	}
	change := changeOf(n.event.Object)
	if n.event.Deleted {
		change.Raw = nil
	}
	return a.view.ApplyEvent(change, a.base)
}

func changesOf(objects []platform.Object) []config.Change {
	changes := make([]config.Change, 0, len(objects))
	for _, object := range objects {
		changes = append(changes, changeOf(object))
	}
	return changes
}

func changeOf(object platform.Object) config.Change {
	return config.Change{Kind: api.Kind(object.Kind), Name: object.Name, Version: uint64(object.Version), Raw: object.Value}
}

func (a *acceptor) rebase() {
	inForce, _ := a.store.current()
	if inForce.set != a.base {
		a.view.Rebase(a.base, inForce.set)
		a.base = inForce.set
	}
}

// schedule sets the time of the next attempt by this VM's rank, unless it is set.
func (a *acceptor) schedule() {
	if a.due == nil {
		wait := gatherTime + time.Duration(a.acceptRank())*a.jittered(rankTime)
		a.due = a.clock.After(wait)
	}
}

// lookAtVMs calls for an attempt when VMs came, went or read other versions
// than before, since that may free records that are pending.
func (a *acceptor) lookAtVMs() {
	readable := a.readableNow()
	if !maps.EqualFunc(readable, a.readable, slices.Equal) {
		a.readable = readable
		a.schedule()
	}
}

// readableNow gives what each live VM reads. A VM that does not say is left out.
func (m *Manager) readableNow() map[string][]string {
	readable := make(map[string][]string)
	for _, member := range m.directory.Members() {
		if len(member.Reads) > 0 {
			readable[member.Name] = member.Reads
		}
	}
	return readable
}

// whole tells whether every kind has been listed: a view that lacks a kind
// would take all its records for deleted.
func (a *acceptor) whole() bool { return len(a.listed) == len(api.OperatorKinds()) }

func (a *acceptor) attempt(ctx context.Context) {
	if !a.whole() {
		a.schedule()
		return
	}
	err := a.try(ctx)
	switch {
	case err == nil:
		a.backoff.Reset()
		return
	case config.IsConflict(err) || errors.Is(err, platform.ErrConflict):
		telemetry.ReleaseLostRace.Log(a.log, "reason", oneLine(err))
	default:
		telemetry.AcceptanceFailed.Fail(a.log, err)
	}
	a.due = a.clock.After(a.backoff.Next())
}

// try makes one attempt, from the platform's newest release on.
func (a *acceptor) try(ctx context.Context) error {
	a.rebase()
	if len(a.view.Changes()) == 0 {
		a.judged.set(config.AcceptResult{}, a.view.Seen())
		return nil
	}
	release, objectVersion, err := a.newestRelease(ctx)
	if err != nil {
		return err
	}
	a.rebase()
	changes := a.view.Changes()
	outcome, err := config.Accept(config.AcceptInput{
		InForce:  a.base,
		Release:  release,
		Changes:  changes,
		Seen:     a.view.Seen(),
		Readable: a.readableNow(),
		By:       a.self.Name,
		At:       a.clock.Now().UTC().Format(time.RFC3339),
	})
	if err != nil {
		return err
	}
	if outcome.Release != nil {
		if err := a.publish(ctx, release, objectVersion, outcome); err != nil {
			return err
		}
		a.rebase()
	}
	a.logVerdicts(a.judged.set(outcome, a.view.Seen()))
	return nil
}

func (a *acceptor) logVerdicts(records []api.RecordStatus) {
	for _, status := range records {
		switch status.State {
		case api.RecordRefused:
			telemetry.RecordRefused.Log(a.log, "record", status.Record, "version", status.Version, "why", oneLine(status.Violations))
		case api.RecordPending:
			telemetry.RecordPending.Log(a.log, "record", status.Record, "version", status.Version, "vms", status.CannotRead)
		}
	}
}

// oneLine makes an error fit a log line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
