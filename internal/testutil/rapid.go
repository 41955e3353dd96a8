package testutil

import (
	"flag"
	"strconv"

	// Its flags must be registered before they are set.
	_ "pgregory.net/rapid"
)

const rapidSeed = "20261202"

// FixRapid makes the property tests of a package search the same on each run,
// with so many checks a property. Call it from an init function of the package's
// tests: -rapid.seed and -rapid.checks on the command line come later, and search
// elsewhere and longer.
func FixRapid(checks int) {
	for name, value := range map[string]string{
		"rapid.seed": rapidSeed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
