package node

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"oleandershunt.example/oleandershunt/internal/peer/gossip"
)

// rateScale converts a rate per second into a gauge count. The smallest rate that
// can be encoded is 0.01 per second.
const rateScale = 100

// summaryEntryLen is the encoded length of one rate in a summary.
const summaryEntryLen = 6

func rateLevel(perSecond float64) uint32 { return gossip.Level(int(perSecond * rateScale)) }

func levelRate(level uint32) float64 { return float64(gossip.Count(level)) / rateScale }

// rateTable holds the levels published by other VMs, by VM and key hash.
type rateTable map[string]map[uint32]uint32

func (t rateTable) set(from string, key, level uint32) {
	if t[from] == nil {
		t[from] = make(map[uint32]uint32)
	}
	if level == 0 {
		delete(t[from], key)
	} else {
		t[from][key] = level
	}
}

// addTo adds all rates to sums.
func (t rateTable) addTo(sums map[uint32]float64) {
	for _, levels := range t {
		for key, level := range levels {
			sums[key] += levelRate(level)
		}
	}
}

// replace replaces all rates of a VM by those of its summary.
func (t rateTable) replace(from string, summary []byte) {
	delete(t, from)
	for rest := summary; len(rest) >= summaryEntryLen; rest = rest[summaryEntryLen:] {
		t.set(from, binary.LittleEndian.Uint32(rest), uint32(binary.LittleEndian.Uint16(rest[4:])))
	}
}

// encodeSummary encodes the highest rates, at most limit of them.
func encodeSummary(sums map[uint32]float64, limit int) []byte {
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b))
	})
	var value []byte
	for _, key := range keys[:min(len(keys), limit)] {
		value = binary.LittleEndian.AppendUint32(value, key)
		value = binary.LittleEndian.AppendUint16(value, uint16(rateLevel(sums[key])))
	}
	return value
}
