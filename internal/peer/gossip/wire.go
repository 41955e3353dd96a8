package gossip

import (
	"oleandershunt.example/oleandershunt/internal/core/digest"
	membershipv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1"
)

// wireDeltas encodes deltas.
func wireDeltas(deltas []digest.Delta) []*membershipv1.Delta {
	wire := make([]*membershipv1.Delta, 0, len(deltas))
	for _, delta := range deltas {
		wire = append(wire, wireDelta(delta))
	}
	return wire
}

func wireDelta(delta digest.Delta) *membershipv1.Delta {
	wire := &membershipv1.Delta{
		Origin:      uint64(delta.ID),
		Local:       delta.Stream == digest.Local,
		Name:        delta.Origin.Name,
		DataCentre:  delta.Origin.DataCentre,
		Incarnation: delta.Origin.Incarnation,
		After:       delta.After,
		Span:        delta.Upto - delta.After,
		Reset_:      delta.Reset,
		Purged:      delta.PurgedVersion,
	}
	for _, entry := range delta.Entries {
		wire.Entries = append(wire.Entries, &membershipv1.Entry{Key: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	for _, gauge := range delta.Gauges {
		wire.GaugeKeys = append(wire.GaugeKeys, gauge.Key)
		wire.GaugeLevels = append(wire.GaugeLevels, gauge.Level)
		wire.GaugeBehind = append(wire.GaugeBehind, delta.Upto-gauge.Version)
	}
	return wire
}

// readDeltas decodes deltas. One that makes no sense is left out: its origin's
// mark does not move, so that the next exchange asks again.
func readDeltas(wire []*membershipv1.Delta) []digest.Delta {
	deltas := make([]digest.Delta, 0, len(wire))
	for _, w := range wire {
		if delta, ok := readDelta(w); ok {
			deltas = append(deltas, delta)
		}
	}
	return deltas
}

func readDelta(w *membershipv1.Delta) (digest.Delta, bool) {
	delta := digest.Delta{
		ID:            digest.ID(w.GetOrigin()),
		Origin:        digest.Origin{Name: w.GetName(), DataCentre: w.GetDataCentre(), Incarnation: w.GetIncarnation()},
		After:         w.GetAfter(),
		Upto:          w.GetAfter() + w.GetSpan(),
		Reset:         w.GetReset_(),
		PurgedVersion: w.GetPurged(),
	}
	if w.GetLocal() {
		delta.Stream = digest.Local
	}
	columns := len(w.GetGaugeKeys())
	if delta.Upto < delta.After || len(w.GetGaugeLevels()) != columns || len(w.GetGaugeBehind()) != columns {
		return delta, false
	}
	for _, entry := range w.GetEntries() {
		delta.Entries = append(delta.Entries, digest.Entry{Key: entry.GetKey(), Value: entry.GetValue(), Version: entry.GetVersion()})
	}
	for i, key := range w.GetGaugeKeys() {
		behind := w.GetGaugeBehind()[i]
		if behind > delta.Upto {
			return delta, false
		}
		delta.Gauges = append(delta.Gauges, digest.Gauge{Key: key, Level: w.GetGaugeLevels()[i], Version: delta.Upto - behind})
	}
	return delta, true
}

func wireMarks(marks []digest.Watermark, withOrigins bool) (origins, versions []uint64) {
	for _, mark := range marks {
		if withOrigins {
			origins = append(origins, uint64(mark.ID))
		}
		versions = append(versions, mark.Version)
	}
	return origins, versions
}

// readMarks decodes a digest's marks. Without origins the versions are in the
// order of own, which holds the same set of origins.
func readMarks(d *membershipv1.Digest, own []digest.Watermark) ([]digest.Watermark, bool) {
	origins, versions := d.GetOrigins(), d.GetVersions()
	if len(origins) == 0 && len(versions) > 0 {
		if len(versions) != len(own) {
			return nil, false
		}
		marks := make([]digest.Watermark, len(own))
		for i := range own {
			marks[i] = digest.Watermark{ID: own[i].ID, Version: versions[i]}
		}
		return marks, true
	}
	if len(origins) != len(versions) {
		return nil, false
	}
	marks := make([]digest.Watermark, len(origins))
	for i := range origins {
		marks[i] = digest.Watermark{ID: digest.ID(origins[i]), Version: versions[i]}
	}
	return marks, true
}
