package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["dedup-window"] = dedupWindow }

// Figures of the case dedup-window.
const (
	windowDays  = 6
	windowRate  = 60.0        // requests a second
	windowLimit = time.Second // WindowUs of the class
	// windowSlack is 50 ms, by which every limit on sockets is longer, and 150 ms, for which a router may be held up
	// between reading its clock and writing.
	windowSlack = 200 * time.Millisecond

	// The course of a day.
	windowQuiet   = 2 * time.Second
	windowToDrain = 300 * time.Millisecond // from the writer's hang to the drain
	windowToHang  = 500 * time.Millisecond // from there to the hang of the two engines that do both
	windowToReset = 100 * time.Millisecond // from there to the reset of the writer's connections
	windowHang    = 900 * time.Millisecond // of the two engines that do both; the writer hangs as long as they
	windowRest    = 2 * time.Second        // from the reset to the day's end
)

// execution is a run of a request.
type execution struct {
	engine string
	at     time.Time // when the request arrived there
}

// effects records the runs of requests of a deduplicated class. All engines share it: the class's scope is all.
type effects struct {
	rec     *recorder
	mu      sync.Mutex
	first   map[string]execution
	dropped int // repeats within the window
	again   int // runs after the window
}

// execute runs a request at an engine, which drops a repeat that arrived within the window.
func (f *effects) execute(e *engine, id string, arrived time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	earlier, isRepeat := f.first[id]
	switch {
	case !isRepeat:
		f.first[id] = execution{engine: e.name, at: arrived}
		f.rec.logf("%s: runs %s", e.name, id)
	case arrived.Sub(earlier.at) <= windowLimit+windowSlack:
		f.dropped++
		f.rec.logf("%s: drops the repeat of %s, %v after it came to %s", e.name, id, arrived.Sub(earlier.at), earlier.engine)
	default:
		f.again++
		f.rec.logf("%s: RUNS %s AGAIN, %v after it came to %s; the window is %v", e.name, id, arrived.Sub(earlier.at), earlier.engine, windowLimit)
	}
}

// dedupWindow plays short days, each with a router and engines of its own.
func dedupWindow(opts options, rec *recorder) (broken bool, err error) {
	totals := map[int]int{}
	requests, dropped, again := 0, 0, 0
	for day := range windowDays {
		rec.logf("day %d begins", day)
		runs := &effects{rec: rec, first: map[string]execution{}}
		answers, err := windowDay(opts, rec, runs)
		if err != nil {
			return false, err
		}
		for status, count := range answers {
			totals[status] += count
		}
		requests += len(runs.first)
		dropped += runs.dropped
		again += runs.again
	}
	rec.say("%d days, %d requests ran, answers by status %v, %d repeats dropped within the window, %d run again later than %v after it",
		windowDays, requests, totals, dropped, again, windowSlack)
	if totals[http.StatusOK] == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return again > 0, nil
}

// windowDay plays clients of a deduplicated class and six engines that have run for long: two readers and a writer that
// will drain, a writer that will hang, and two engines that do both. The writer hangs in the middle of its work, the three
// engines drain, the two that do both hang, and the writer's connections are reset. A request that may have run must not
// be sent again after its window. It returns the number of answers by status.
func windowDay(opts options, rec *recorder, runs *effects) (answers map[int]int, err error) {
	w, err := newWorld(rec)
	if err != nil {
		return nil, err
	}
	defer w.close()
	reader := func(e *engine, conn net.Conn, id string, _ time.Time) bool {
		return read(e, conn, id, 10*time.Millisecond)
	}
	writer := func(e *engine, conn net.Conn, id string, arrived time.Time) bool {
		taken, open := takeState(e, conn, id)
		if !taken {
			return open
		}
		runs.execute(e, id, arrived)
		return stream(conn, id, 2*time.Millisecond)
	}
	var hangs atomic.Bool
	hangingWriter := func(e *engine, conn net.Conn, id string, arrived time.Time) bool {
		if !hangs.Load() {
			return writer(e, conn, id, arrived)
		}
		taken, open := takeState(e, conn, id)
		if !taken {
			return open
		}
		runs.execute(e, id, arrived)
		rec.logf("%s: hangs in the middle of %s", e.name, id)
		time.Sleep(windowToDrain + windowToHang + windowHang)
		return false
	}
	both := func(e *engine, conn net.Conn, id string, arrived time.Time) bool {
		w.mu.Lock()
		delete(w.held, id)
		w.mu.Unlock()
		runs.execute(e, id, arrived)
		time.Sleep(10 * time.Millisecond)
		return stream(conn, id, 2*time.Millisecond)
	}
	engines := map[string]*engine{}
	for _, spec := range []struct {
		name, flavor string
		handle       handler
	}{
		{"r0", "read", reader},
		{"r1", "read", reader},
		{"w0", "write", writer},
		{"w1", "write", hangingWriter},
		{"m0", "both", both},
		{"m1", "both", both},
	} {
		engines[spec.name], err = w.startEngine(spec.name, spec.flavor, spec.handle)
		if err != nil {
			return nil, err
		}
	}
	classes := siteClasses()
	classes[1]["Effect"] = "deduplicated"
	classes[1]["WindowUs"] = windowLimit.Microseconds()
	router, err := w.startPlatformRouter(opts, classes)
	if err != nil {
		return nil, err
	}
	defer router.kill()

	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	defer transport.CloseIdleConnections()
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers = map[int]int{}
	stop := make(chan struct{})
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / windowRate * float64(time.Second))):
			}
			id := callID(n)
			wait.Go(func() {
				rec.logf("client: %s sent", id)
				got := ask(transport, router.address, id, longQuestion, id, 8*time.Second)
				rec.logf("client: %s answered %d, error %v", id, got.status, got.err)
				mu.Lock()
				answers[got.status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(windowQuiet)
	if opts.trouble {
		hangs.Store(true)
		time.Sleep(windowToDrain)
		w.setPhase("terminating", engines["r0"], engines["r1"], engines["w0"])
		time.Sleep(windowToHang)
		for _, name := range []string{"w1", "m0", "m1"} { // now w1 answers no release either
			engines[name].hang(windowHang)
		}
		time.Sleep(windowToReset)
		engines["w1"].resetConnections()
		time.Sleep(windowRest)
	}
	close(stop)
	wait.Wait()
	if router.hasExited() {
		return nil, fmt.Errorf("the router ended")
	}
	return answers, nil
}
