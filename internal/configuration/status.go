package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// statusInterval is how often the writer looks for changes of status.
	statusInterval = time.Second
	// sourceInterval is how often pipelines and backend servers are looked at,
	// which costs in proportion to their number.
	sourceInterval = 3 * time.Second
	// vmsInterval is how often the platform's list of VMs is read.
	vmsInterval = 3 * time.Second
	// statusWritesPerTurn bounds the Status records written in one turn, and so
	// the platform's writes for status: 4 a second from the whole fleet.
	statusWritesPerTurn = 12
	// statusMinAge is how long a pipeline's status stands at least if only its
	// figures moved, which they do all the time.
	statusMinAge = 10 * time.Second
	// takeOverAge is how long a status that differs from this VM's view must
	// have stood for each rank, before the VM of that rank writes its own.
	takeOverAge = 5 * time.Second
)

// StatusSource fills the Status records of pipelines and backend servers from
// one VM's view. Its methods are called from one goroutine, about once a second.
type StatusSource interface {
	// PipelineStatus lists the pipelines. By and At are filled in later.
	PipelineStatus() []api.PipelineStatus
	// BackendServerStatus lists the backend servers. By and At are filled in later.
	BackendServerStatus() []api.BackendServerStatus
}

// statusWriter writes Status records when they change. It is used from one goroutine.
type statusWriter struct {
	*Manager
	written map[string]writtenStatus
	// differs is when the configuration's status was first seen to differ.
	differs time.Time
	// vms is the platform's list of VMs, read at listed.
	vms    []platform.VM
	listed time.Time
	// known says that the Status records in the platform have been read.
	known bool
	// looked is when the sources were last asked.
	looked time.Time
}

// writtenStatus is a Status record as this VM last read or wrote it.
type writtenStatus struct {
	version history.Version
	value   []byte
	at      time.Time
}

// writeStatus writes Status records until ctx ends. One VM does it, the first
// in rank among those that accept, so that writes do not grow with the fleet;
// the next ones step in when what stands is old and wrong.
func (m *Manager) writeStatus(ctx context.Context) {
	w := &statusWriter{Manager: m, written: make(map[string]writtenStatus)}
	for {
		select {
		case <-m.clock.After(m.jittered(statusInterval)):
			w.turn(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (w *statusWriter) turn(ctx context.Context) {
	rank := w.acceptRank()
	w.listVMs(ctx)
	if err := w.configuration(ctx, rank); err != nil {
		telemetry.StatusNotWritten.Fail(w.log, err, "name", api.StatusConfiguration)
		return
	}
	if rank > 0 || w.clock.Now().Sub(w.looked) < sourceInterval {
		return
	}
	w.looked = w.clock.Now()
	if err := w.sourceStatus(ctx); err != nil {
		telemetry.StatusNotWritten.Fail(w.log, err)
	}
}

// sourceStatus writes the status of pipelines and backend servers that changed,
// and deletes that of those which are gone.
func (w *statusWriter) sourceStatus(ctx context.Context) error {
	if err := w.readAll(ctx); err != nil {
		return err
	}
	current := map[string]bool{api.StatusConfiguration: true}
	budget := statusWritesPerTurn
	for _, source := range w.sources {
		for _, status := range source.PipelineStatus() {
			name := api.StatusPipelinePrefix + status.Pipeline
			current[name] = true
			w.object(ctx, &budget, name, status)
		}
		for _, status := range source.BackendServerStatus() {
			name := api.StatusServerPrefix + status.BackendServer
			current[name] = true
			w.object(ctx, &budget, name, status)
		}
	}
	for name, status := range w.written {
		if current[name] || budget == 0 {
			continue
		}
		budget--
		err := w.platform.Delete(ctx, string(api.KindStatus), name, status.version)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		delete(w.written, name)
	}
	return nil
}

// readAll reads the Status records of pipelines and servers once, since an
// earlier writer may have left some that nobody would write or delete again.
func (w *statusWriter) readAll(ctx context.Context) error {
	if w.known {
		return nil
	}
	for _, prefix := range []string{api.StatusPipelinePrefix, api.StatusServerPrefix} {
		list, err := w.platform.List(ctx, string(api.KindStatus), prefix)
		if err != nil {
			return err
		}
		for _, object := range list.Items {
			w.written[object.Name] = writtenStatus{version: object.Version, value: unstamped(object)}
		}
	}
	w.known = true
	return nil
}

// unstamped gives a Status record's JSON without who wrote it and when.
func unstamped(object platform.Object) []byte {
	var status any = &api.BackendServerStatus{}
	if strings.HasPrefix(object.Name, api.StatusPipelinePrefix) {
		status = &api.PipelineStatus{}
	}
	if json.Unmarshal(object.Value, status) != nil {
		return nil
	}
	var value []byte
	switch s := status.(type) {
	case *api.PipelineStatus:
		s.By, s.At = "", ""
		value, _ = json.Marshal(s)
	case *api.BackendServerStatus:
		s.By, s.At = "", ""
		value, _ = json.Marshal(s)
	}
	return value
}

// configuration writes the status of the records if it changed.
func (w *statusWriter) configuration(ctx context.Context, rank int) error {
	status, known := w.configurationStatus(w.unknownVMs())
	if !known {
		return nil
	}
	wanted, err := json.Marshal(status)
	if err != nil {
		return err
	}
	if string(w.written[api.StatusConfiguration].value) == string(wanted) {
		w.differs = time.Time{}
		return nil
	}
	if w.differs.IsZero() {
		w.differs = w.clock.Now()
	}
	if rank > 0 && w.clock.Now().Sub(w.differs) < time.Duration(rank)*takeOverAge {
		return nil
	}
	standing, version, err := w.read(ctx)
	if err != nil {
		return err
	}
	if rank > 0 && !outdated(standing, status) || sameStatus(standing, status) {
		w.written[api.StatusConfiguration] = writtenStatus{version: version, value: wanted}
		return nil
	}
	status.By = w.self.Name
	status.At = w.now()
	return w.put(ctx, api.StatusConfiguration, version, status, wanted)
}

// listVMs reads the platform's list of VMs at intervals. While the platform
// does not answer, the last list stands.
func (w *statusWriter) listVMs(ctx context.Context) {
	if !w.listed.IsZero() && w.clock.Now().Sub(w.listed) < vmsInterval {
		return
	}
	if vms, err := w.platform.VMs(ctx); err == nil {
		w.vms = vms
		w.listed = w.clock.Now()
	}
}

// unknownVMs are the VMs that the platform lists as live and that this VM has
// not heard of. Without them a VM that was cut off from the others at its start
// would not be missed.
func (w *statusWriter) unknownVMs() []string {
	var unknown []string
	for _, vm := range w.vms {
		if _, known := w.directory.Member(vm.Name); !known && vm.State == platform.VMLive {
			unknown = append(unknown, vm.Name)
		}
	}
	return unknown
}

// configurationStatus is the status from this VM's view, without By and At.
// Unknown VMs are counted as having no release.
func (m *Manager) configurationStatus(unknown []string) (api.ConfigurationStatus, bool) {
	status, known := m.judged.status()
	inForce, _ := m.store.current()
	newest := inForce.release.Sequence
	for _, member := range m.directory.Members() {
		if member.Name != m.self.Name {
			newest = max(newest, member.Release)
		}
	}
	status.Release.Sequence = newest
	lagging := func(name string, release uint64) {
		if len(status.Release.Lagging) < api.MaxStatusLagging {
			status.Release.Lagging = append(status.Release.Lagging, api.LaggingVM{Name: name, Release: release})
		}
	}
	for _, name := range unknown {
		status.Release.VMs++
		lagging(name, 0)
	}
	for _, member := range m.directory.Members() {
		release := member.Release
		if member.Name == m.self.Name {
			release = inForce.release.Sequence
		}
		status.Release.VMs++
		if release == newest {
			status.Release.InForce++
			continue
		}
		lagging(member.Name, release)
	}
	return status, known
}

func (w *statusWriter) read(ctx context.Context) (api.ConfigurationStatus, history.Version, error) {
	var standing api.ConfigurationStatus
	object, err := w.platform.Get(ctx, string(api.KindStatus), api.StatusConfiguration)
	if errors.Is(err, platform.ErrNotFound) {
		return standing, 0, nil
	}
	if err != nil {
		return standing, 0, err
	}
	// A status that can't be read is replaced.
	_ = json.Unmarshal(object.Value, &standing)
	return standing, object.Version, nil
}

// outdated tells whether a standing status is behind this VM's view.
func outdated(standing, ours api.ConfigurationStatus) bool {
	if standing.Release.Sequence < ours.Release.Sequence {
		return true
	}
	for kind, seen := range ours.Seen {
		if standing.Seen[kind] < seen {
			return true
		}
	}
	return false
}

func sameStatus(standing, ours api.ConfigurationStatus) bool {
	standing.By, standing.At = "", ""
	a, errA := json.Marshal(standing)
	b, errB := json.Marshal(ours)
	return errA == nil && errB == nil && reflect.DeepEqual(a, b)
}

// object writes one pipeline's or server's status if it changed, within the budget.
func (w *statusWriter) object(ctx context.Context, budget *int, name string, status any) {
	wanted, err := json.Marshal(status)
	before := w.written[name]
	pipeline, moves := status.(api.PipelineStatus)
	young := moves && !before.at.IsZero() && w.clock.Now().Sub(before.at) < statusMinAge && onlyFiguresMoved(before.value, pipeline)
	if err != nil || *budget == 0 || young || string(before.value) == string(wanted) {
		return
	}
	*budget--
	if err := w.put(ctx, name, before.version, stamped(status, w.self.Name, w.now()), wanted); err != nil {
		telemetry.StatusNotWritten.Fail(w.log, err, "name", name)
	}
}

// onlyFiguresMoved tells whether a pipeline's status differs from the one written
// in nothing but its figures. That layers are lost, or are back, is told at once.
func onlyFiguresMoved(written []byte, now api.PipelineStatus) bool {
	var before api.PipelineStatus
	if json.Unmarshal(written, &before) != nil {
		return false
	}
	before.BoundTokensPerSecond, before.HeldTokensPerSecond = now.BoundTokensPerSecond, now.HeldTokensPerSecond
	a, errA := json.Marshal(before)
	b, errB := json.Marshal(now)
	return errA == nil && errB == nil && string(a) == string(b)
}

func (w *statusWriter) put(ctx context.Context, name string, version history.Version, status any, wanted []byte) error {
	var object platform.Object
	var err error
	if version == 0 {
		object, err = w.platform.Create(ctx, string(api.KindStatus), name, status)
	} else {
		object, err = w.platform.Update(ctx, string(api.KindStatus), name, version, status)
	}
	if err != nil {
		// Another VM wrote, or nobody knows: read it anew next time.
		delete(w.written, name)
		w.known = false
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	}
	w.written[name] = writtenStatus{version: object.Version, value: wanted, at: w.clock.Now()}
	return nil
}

// stamped fills in who wrote a status and when.
func stamped(status any, by, at string) any {
	switch s := status.(type) {
	case api.PipelineStatus:
		s.By, s.At = by, at
		return s
	case api.BackendServerStatus:
		s.By, s.At = by, at
		return s
	default:
		return status
	}
}

func (m *Manager) now() string { return m.clock.Now().UTC().Format(time.RFC3339) }
