// Package proptest gives property tests written with pgregory.net/rapid a fixed seed, so that plain go
// test has the same result each time. Test files import it for its side effect:
//
//	import _ "martenlock/internal/proptest"
//
// The command line and rapid's environment variables override what it sets. RAPID_SEED=0 selects a
// new seed each time.
package proptest

import (
	"flag"
	"os"
	"strings"

	_ "pgregory.net/rapid" // registers its flags
)

// Seed is the default seed of property tests.
const Seed = "20261202"

func init() {
	SetDefault("rapid.seed", Seed)
	SetDefault("rapid.nofailfile", "true") // later runs would replay a fail file left in the tree
}

// SetDefault sets the default of one of rapid's flags, unless rapid's environment variable for it is set.
// It panics if there is no such flag or the value is invalid. It must be called before flags are
// parsed, from an init function.
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
