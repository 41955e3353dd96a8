package gossip

import "math/bits"

// A level encodes a count in few bits: exact below exactLevels, and above that in
// eight steps per power of two, so that small changes of a large count don't
// change its level and cost no bytes.
const (
	exactLevels    = 16
	stepsPerOctave = 8
	exactBits      = 4
)

// Level encodes a count. Negative counts are encoded as 0.
func Level(count int) uint32 {
	if count < exactLevels {
		return uint32(max(count, 0))
	}
	octave := bits.Len(uint(count)) - exactBits - 1
	step := (count >> (octave + 1)) - stepsPerOctave
	return uint32(exactLevels + octave*stepsPerOctave + step)
}

// Count returns the lowest count with the given level.
func Count(level uint32) int {
	if level < exactLevels {
		return int(level)
	}
	octave := int(level-exactLevels) / stepsPerOctave
	step := int(level-exactLevels) % stepsPerOctave
	if octave > bits.UintSize-exactBits-3 {
		return 1 << (bits.UintSize - 2)
	}
	return (stepsPerOctave + step) << (octave + 1)
}

// pairShift is the bit offset of the second level of a pair. A level is at most 489.
const pairShift = 9

// Pair encodes two counts as levels in one number.
func Pair(first, second int) uint32 { return Level(first) | Level(second)<<pairShift }

// Counts decodes a pair made by Pair.
func Counts(pair uint32) (first, second int) {
	return Count(pair & (1<<pairShift - 1)), Count(pair >> pairShift)
}
