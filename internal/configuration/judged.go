package configuration

import (
	"maps"
	"sync"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

// judged is the last verdicts of this VM on records. Safe for concurrent use.
type judged struct {
	mu       sync.Mutex
	known    bool
	held     map[string]api.RecordStatus
	records  []api.RecordStatus
	standing api.Violations
	seen     map[api.Kind]uint64
}

func newJudged() *judged { return &judged{held: make(map[string]api.RecordStatus)} }

// set takes the outcome of an attempt, and returns the verdicts that are new
// and hold a record up.
func (j *judged) set(outcome config.AcceptResult, seen map[api.Kind]uint64) []api.RecordStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	var fresh []api.RecordStatus
	held := make(map[string]api.RecordStatus)
	j.records = nil
	for _, status := range outcome.Records {
		if status.State == api.RecordAccepted {
			continue
		}
		before, known := j.held[status.Record]
		if !known || before.Version != status.Version || before.State != status.State {
			fresh = append(fresh, status)
		}
		held[status.Record] = status
		j.records = append(j.records, status)
	}
	j.held = held
	j.standing = outcome.PreexistingViolations
	j.seen = maps.Clone(seen)
	j.known = true
	return fresh
}

// status is the verdicts as a Status record has them.
func (j *judged) status() (api.ConfigurationStatus, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	status := api.ConfigurationStatus{Standing: j.standing, Seen: j.seen}
	for _, record := range j.records {
		if record.State == api.RecordPending {
			status.Pending++
		} else {
			status.Refused++
		}
	}
	status.Records = j.records[:min(len(j.records), api.MaxStatusRecords)]
	return status, j.known
}
