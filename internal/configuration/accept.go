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
	// batchDelay is the wait before an attempt, so that changes written together are
	// accepted together.
	batchDelay = 50 * time.Millisecond
	// rankDelay is the additional wait per rank. The first rank has usually accepted
	// by then, so that the others need not try.
	rankDelay = 600 * time.Millisecond
	// updateBuffer is the number of updates buffered between the watches and the acceptor.
	updateBuffer = 256
)

// recordUpdate is a list or an event from the watch of one kind of records. Exactly
// one of list and event is set.
type recordUpdate struct {
	kind  api.Kind
	list  *platform.List
	event *platform.WatchEvent
}

// recordSink sends the lists and events of one kind of records to the acceptor.
type recordSink struct {
	ctx     context.Context
	manager *Manager
	kind    api.Kind
	updates chan<- recordUpdate
}

// Listed implements platform.Sink.
func (s recordSink) Listed(list platform.List) error {
	return s.send(recordUpdate{kind: s.kind, list: &list})
}

// Watched implements platform.Sink.
func (s recordSink) Watched(event platform.WatchEvent) error {
	return s.send(recordUpdate{kind: s.kind, event: &event})
}

// Held implements platform.Holder with the records in force. The record version
// alone identifies the value, so the JSON stored in the platform isn't needed.
func (s recordSink) Held(name string, version uint64) json.RawMessage {
	inForce, _ := s.manager.store.current()
	record := inForce.set.Record(s.kind, name)
	if record == nil || record.Version != version {
		return nil
	}
	return record.Raw
}

// Broken implements platform.Sink.
func (s recordSink) Broken(err error) { s.manager.recordPlatformFailure(err) }

func (s recordSink) send(update recordUpdate) error {
	s.manager.recordPlatformSuccess()
	select {
	case s.updates <- update:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// isAcceptor reports whether this VM is one of those that accept records.
func (m *Manager) isAcceptor() bool { return m.acceptRank() < acceptors }

// acceptRank returns this VM's rank among the acceptors. Any VM may accept: the
// conditional update of the release resolves races, and ranks only make them rare.
func (m *Manager) acceptRank() int { return m.ranks().accept }

// runAcceptor watches the operators' records and accepts them until ctx ends.
func (m *Manager) runAcceptor(ctx context.Context) {
	// With the release in force read first, the lists that follow share its records.
	// On an error, the first attempt reads it again.
	_ = m.readRelease(ctx)
	a := &acceptor{
		Manager: m,
		view:    config.NewView(),
		listed:  make(map[api.Kind]bool),
		backoff: m.platform.NewBackoff(),
	}
	inForce, _ := m.store.current()
	a.base = inForce.set
	updates := make(chan recordUpdate, updateBuffer)
	for _, kind := range api.OperatorKinds() {
		sink := recordSink{ctx: ctx, manager: m, kind: kind, updates: updates}
		defer startTask(ctx, func(ctx context.Context) {
			_ = m.platform.Follow(ctx, string(kind), "", sink)
		}).stop()
	}
	a.run(ctx, updates)
}

// acceptor accepts records. It is used from one goroutine.
type acceptor struct {
	*Manager
	view   *config.View
	listed map[api.Kind]bool
	// base is the set that the view is compared with.
	base *config.Set
	// readable is the result of the last readableVersions call.
	readable map[string][]string
	due      <-chan time.Time
	backoff  *platform.Backoff
}

func (a *acceptor) run(ctx context.Context, updates <-chan recordUpdate) {
	vmCheck := a.clock.After(a.jittered(roleInterval))
	for {
		_, changed := a.store.current()
		a.rebase()
		select {
		case update := <-updates:
			if a.applyUpdate(update) {
				a.schedule()
			}
		case <-changed:
			a.rebase()
		case <-vmCheck:
			vmCheck = a.clock.After(a.jittered(roleInterval))
			a.checkVMs()
		case <-a.due:
			a.due = nil
			a.attempt(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// applyUpdate applies an update to the view and reports whether an attempt may be needed.
func (a *acceptor) applyUpdate(update recordUpdate) bool {
	if update.list != nil {
		a.listed[update.kind] = true
		return a.view.ApplyList(update.kind, uint64(update.list.Version), changesOf(update.list.Items), a.base)
	}
	if update.event.Bookmark {
		a.view.ApplyBookmark(update.kind, uint64(update.event.Object.Version))
		return false
	}
	change := changeOf(update.event.Object)
	if update.event.Deleted {
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

// schedule sets the time of the next attempt by this VM's rank, unless one is scheduled.
func (a *acceptor) schedule() {
	if a.due == nil {
		wait := batchDelay + time.Duration(a.acceptRank())*a.jittered(rankDelay)
		a.due = a.clock.After(wait)
	}
}

// checkVMs schedules an attempt when the set of VMs or the versions that they read
// have changed, since records that are pending may then be acceptable.
func (a *acceptor) checkVMs() {
	readable := a.readableVersions()
	if !maps.EqualFunc(readable, a.readable, slices.Equal) {
		a.readable = readable
		a.schedule()
	}
}

// readableVersions returns the record versions that each live VM reads. VMs that
// don't report any are left out.
func (m *Manager) readableVersions() map[string][]string {
	readable := make(map[string][]string)
	for _, member := range m.directory.Members() {
		if len(member.Reads) > 0 {
			readable[member.Name] = member.Reads
		}
	}
	return readable
}

// allKindsListed reports whether every kind has been listed. In a view without one
// of the kinds, all its records would count as deleted.
func (a *acceptor) allKindsListed() bool { return len(a.listed) == len(api.OperatorKinds()) }

func (a *acceptor) attempt(ctx context.Context) {
	if !a.allKindsListed() {
		a.schedule()
		return
	}
	err := a.tryAccept(ctx)
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

// tryAccept makes one attempt, based on the platform's newest release.
func (a *acceptor) tryAccept(ctx context.Context) error {
	a.rebase()
	if len(a.view.Changes()) == 0 {
		a.decisions.record(config.AcceptResult{}, a.view.Seen())
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
		Readable: a.readableVersions(),
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
	a.logDecisions(a.decisions.record(outcome, a.view.Seen()))
	return nil
}

func (a *acceptor) logDecisions(records []api.RecordStatus) {
	for _, status := range records {
		switch status.State {
		case api.RecordRefused:
			telemetry.RecordRefused.Log(a.log, "record", status.Record, "version", status.Version, "why", oneLine(status.Violations))
		case api.RecordPending:
			telemetry.RecordPending.Log(a.log, "record", status.Record, "version", status.Version, "vms", status.CannotRead)
		}
	}
}

// oneLine returns an error's text with line breaks replaced, for a log line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
