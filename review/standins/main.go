// Command standins plays the clients, engines and discovery of the cases of this review against processes of the
// router. It exits with 0 if the rule of the case held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// options are the same for all cases.
type options struct {
	root    string // of the repository, from which the router is started
	record  string // path of the record
	temp    string // temporary folder of the case
	trouble bool   // false: without the disruption
}

var cases = map[string]func(options, *recorder) (broken bool, err error){}

// init keeps main on the first thread: the router is told to end when the thread that started it ends.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD TEMP; TROUBLE=0 plays the case without the disruption")
		os.Exit(exitCannotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitCannotRun)
	}
	opts := options{root: os.Args[2], record: os.Args[3], temp: os.Args[4], trouble: os.Getenv("TROUBLE") != "0"}
	rec, err := newRecorder(opts.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	rec.say("case %s, disruption: %v", os.Args[1], opts.trouble)
	broken, err := run(opts, rec)
	code := exitHeld
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		code = exitCannotRun
	case broken:
		rec.say("RULE BROKEN")
		code = exitBroken
	default:
		rec.say("the rule held")
	}
	rec.close()
	os.Exit(code)
}
