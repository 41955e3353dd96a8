// Package spelling finds the name that was meant by one that is not known.
package spelling

import (
	"strings"

	"github.com/agext/levenshtein"
)

// maxDistance is how many letters may differ for a name to be suggested.
const maxDistance = 3

// Nearest is the known name with the fewest letters different, whatever the
// case, or "" if none is near. Of several as near it is the first.
func Nearest(name string, known []string) string {
	best, distance := "", maxDistance+1
	for _, candidate := range known {
		if d := levenshtein.Distance(strings.ToLower(name), strings.ToLower(candidate), nil); d < distance {
			best, distance = candidate, d
		}
	}
	return best
}
