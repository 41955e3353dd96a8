package config

import (
	"encoding/json"

	"oleandershunt.example/oleandershunt/api"
)

// setJSON is the encoding of a set in trace recordings.
type setJSON struct {
	Release uint64           `json:"release"`
	Records []api.PageRecord `json:"records"`
}

// MarshalJSON encodes the release number and every record with its version.
func (s *Set) MarshalJSON() ([]byte, error) {
	out := setJSON{Release: s.Release, Records: []api.PageRecord{}}
	for _, kind := range api.OperatorKinds() {
		for record := range s.Records(kind) {
			out.Records = append(out.Records, api.PageRecord{Version: record.Version, Document: record.Raw})
		}
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (s *Set) UnmarshalJSON(data []byte) error {
	var in setJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	records := make([]*Record, 0, len(in.Records))
	for _, entry := range in.Records {
		record, err := NewRecord(entry.Version, entry.Document)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	*s = *newSet(in.Release, records)
	return nil
}
