package api

// RecordState is what became of a record that an operator wrote.
type RecordState string

// The states of a record.
const (
	// RecordAccepted: a release has the record's newest version.
	RecordAccepted RecordState = "accepted"
	// RecordPending: some live VM can't read the record's schema version; what
	// was in force stays.
	RecordPending RecordState = "pending"
	// RecordRefused: the record breaks a rule; what was in force stays.
	RecordRefused RecordState = "refused"
)

// RecordStatus is the standing of one version of one record.
type RecordStatus struct {
	// Record is "Kind/name".
	Record string `json:"record"`
	// Version is the platform's version of the record's object.
	Version uint64      `json:"version"`
	State   RecordState `json:"state"`
	// Release is the release that has the record. 0 unless accepted.
	Release uint64 `json:"release,omitempty"`
	// CannotRead lists the live VMs that keep the record pending.
	CannotRead []string `json:"cannotRead,omitempty"`
	// Violations says why the record is refused.
	Violations Violations `json:"violations,omitempty"`
}

// ReleaseStatus says where the newest release is in force.
type ReleaseStatus struct {
	// Sequence is the newest release.
	Sequence uint64 `json:"sequence"`
	// InForce is the number of live VMs that run it, out of VMs.
	InForce int `json:"inForce"`
	VMs     int `json:"vms"`
	// Lagging lists the live VMs that run an older release.
	Lagging []LaggingVM `json:"lagging,omitempty"`
}

// LaggingVM is a VM whose release in force is not the newest.
type LaggingVM struct {
	Name    string `json:"name"`
	Release uint64 `json:"release"`
}
