package api

// The names of Status objects. Those of pipelines and backend servers are the
// prefix with the record's name.
const (
	// StatusConfiguration holds a ConfigurationStatus.
	StatusConfiguration = "configuration"
	// StatusPipelinePrefix starts the names of PipelineStatus objects.
	StatusPipelinePrefix = "pipeline."
	// StatusServerPrefix starts the names of BackendServerStatus objects.
	StatusServerPrefix = "backend-server."
	// StatusPlacementPrefix, with a data centre's name, names a PlacementStatus.
	StatusPlacementPrefix = "placement."
)

// Bounds of a ConfigurationStatus, which must fit one value of the platform.
const (
	MaxStatusRecords = 500
	MaxStatusLagging = 100
)

// ConfigurationStatus says what became of the operators' records. A record that
// is not in Records is accepted if its version is not above Seen of its kind;
// otherwise it has not been decided on yet.
type ConfigurationStatus struct {
	Release ReleaseStatus `json:"release"`
	// Records lists the records pending or refused, at most MaxStatusRecords.
	Records []RecordStatus `json:"records,omitempty"`
	// Pending and Refused count them all.
	Pending int `json:"pending"`
	Refused int `json:"refused"`
	// Standing lists what is wrong with the set in force, whatever was changed last.
	Standing Violations `json:"standing,omitempty"`
	// Seen is, by kind, the platform's version up to which records have been decided on.
	Seen map[Kind]uint64 `json:"seen,omitempty"`
	// By and At say which VM wrote the status, and when by its clock, in RFC 3339.
	By string `json:"by"`
	At string `json:"at"`
}

// State is what became of a version of a record, and why.
func (s ConfigurationStatus) State(kind Kind, name string, version uint64) (RecordStatus, bool) {
	for _, status := range s.Records {
		if status.Record == Key(kind, name) && status.Version == version {
			return status, true
		}
	}
	if version > s.Seen[kind] {
		return RecordStatus{}, false
	}
	return RecordStatus{Record: Key(kind, name), Version: version, State: RecordAccepted}, true
}

// PipelineStatus says what a pipeline can bear and does.
type PipelineStatus struct {
	Pipeline string `json:"pipeline"`
	// Model is what it runs.
	Model string `json:"model,omitempty"`
	// BoundTokensPerSecond is the maximum flow over its servers and links. 0 when not known.
	BoundTokensPerSecond float64 `json:"boundTokensPerSecond,omitempty"`
	// HeldTokensPerSecond is what it answered lately. 0 when not known.
	HeldTokensPerSecond float64 `json:"heldTokensPerSecond,omitempty"`
	// SingleCopy lists the layers that only one backend server holds.
	SingleCopy []Layers `json:"singleCopy,omitempty"`
	// Missing lists the layers that none holds.
	Missing []Layers `json:"missing,omitempty"`
	// Bottleneck lists the layers whose servers limit the bound. Empty when a link does.
	Bottleneck []Layers `json:"bottleneck,omitempty"`
	// Disconnected says that every layer is held, but lost links part the holders.
	Disconnected bool `json:"disconnected,omitempty"`
	// Repairing says what is being done about it, one thing a line. It is not in
	// the record: who reads it takes it from the PlacementStatus of every data centre.
	Repairing []string `json:"repairing,omitempty"`
	By        string   `json:"by,omitempty"`
	At        string   `json:"at,omitempty"`
}

// BackendServerStatus says how a backend server stands.
type BackendServerStatus struct {
	BackendServer string `json:"backendServer"`
	// State is a word such as "serving", "suspect", "leaving" or "lost".
	State string `json:"state"`
	// Since is when it came into the state, in RFC 3339.
	Since string `json:"since,omitempty"`
	// Evidence says who saw what.
	Evidence []string `json:"evidence,omitempty"`
	By       string   `json:"by,omitempty"`
	At       string   `json:"at,omitempty"`
}

// PlacementStatus says what is being changed on the backend servers of a data centre.
type PlacementStatus struct {
	DataCentre string `json:"dataCentre"`
	// Changes says what is being done, or waited for, at each server.
	Changes []PlacementChange `json:"changes"`
	By      string            `json:"by,omitempty"`
	At      string            `json:"at,omitempty"`
}

// PlacementChange is a backend server on its way from what it holds to what it should hold.
type PlacementChange struct {
	// Model is what it should hold. Empty if nothing.
	Model string `json:"model,omitempty"`
	// What says the change in one line.
	What string `json:"what"`
}
