// Judge plays one case of the review: it starts martenlock as a separate process, plays its clients, its engines and
// its operator, and judges what they saw. It uses only the standard library.
//
//	judge CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment it does the same without the disruption. The record of what was sent, answered and run is written to
// record.txt in FOLDER. It is started from the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	timeLimit  = 110 * time.Second
	recordFile = "record.txt"
)

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(*scene){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: judge CASE FOLDER")
		os.Exit(exitNotRun)
	}
	// The router ends with the thread that started it: this goroutine starts it, and stays on the main thread.
	runtime.LockOSThread()
	signal.Ignore(syscall.SIGPIPE) // a closed standard output must not end the judge before the router
	s, err := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "judge:", err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { s.end(exitNotRun, fmt.Sprintf("ended by a signal: %v", <-signals)) }()
	time.AfterFunc(timeLimit, func() { s.end(exitNotRun, "the time limit was reached") })
	cases[os.Args[1]](s)
	s.end(exitNotRun, "the case gave no verdict")
}
