// Package proptest sets a fixed seed for property tests that use pgregory.net/rapid, so that every run of
// go test without flags has the same result. Test files import it for its side effect:
//
//	import _ "martenlock/internal/proptest"
//
// Flags on the command line and rapid's environment variables take precedence. RAPID_SEED=0 selects a
// new seed for each run.
package proptest

import (
	"flag"
	"os"
	"strings"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

// Seed is the default seed of property tests.
const Seed = "20261202"

func init() {
	SetDefault("rapid.seed", Seed)
	SetDefault("rapid.nofailfile", "true") // a fail file left in the tree would be replayed by later runs
}

// SetDefault sets the default of one of rapid's flags, unless rapid's environment variable for the flag
// is set. It panics if there is no such flag or the value is invalid. It must be called from an init
// function, so that it precedes the parsing of flags.
func SetDefault(name, value string) {
	if _, isSet := os.LookupEnv(environmentVariable(name)); isSet {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// environmentVariable returns the name of the environment variable that sets a flag of rapid, such as
// RAPID_SEED for rapid.seed.
func environmentVariable(name string) string {
	return strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}
