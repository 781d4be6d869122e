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
	windowRate   = 60.0 // requests a second
	windowRounds = 6
	windowLimit  = time.Second // WindowUs of the class
	// windowSlack is 50 ms, by which every limit on sockets is longer, and 150 ms, for which a router may be held up
	// between reading its clock and writing.
	windowSlack = 200 * time.Millisecond

	// The course of a round.
	windowQuiet     = 2 * time.Second
	windowToDrain   = 300 * time.Millisecond // from the writer's hang to the drain of the old engines
	windowToHang    = 500 * time.Millisecond // from there to the hang of the two other new engines
	windowToCrash   = 100 * time.Millisecond // from there to the end of the writer
	windowHang      = 900 * time.Millisecond
	windowToRestore = 1100 * time.Millisecond // from the writer's end to the next release of engines
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

// dedupWindow plays clients of a deduplicated class and eight engines: two readers and two writers that a release replaces,
// a writer and two engines that do both. In each round that writer hangs in the middle of its work, the old engines drain,
// the two that do both hang for 0.9 s, and the writer dies. A request that may have run must not be sent again after its
// window.
func dedupWindow(opts options, rec *recorder) (broken bool, err error) {
	w, err := newWorld(rec)
	if err != nil {
		return false, err
	}
	runs := &effects{rec: rec, first: map[string]execution{}}
	var writerHangs atomic.Bool
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
	hangingWriter := func(e *engine, conn net.Conn, id string, arrived time.Time) bool {
		if !writerHangs.Load() {
			return writer(e, conn, id, arrived)
		}
		taken, open := takeState(e, conn, id)
		if !taken {
			return open
		}
		runs.execute(e, id, arrived)
		rec.logf("%s: hangs in the middle of %s", e.name, id)
		time.Sleep(time.Minute)
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
	start := func(name, flavor string, handle handler) *engine {
		e, startErr := w.startEngine(name, flavor, handle)
		if startErr != nil {
			err = startErr
		}
		return e
	}
	mixed := []*engine{start("m0", "both", both), start("m1", "both", both)}
	release := func(round int) (old []*engine, failing *engine) {
		for i := range 2 {
			old = append(old, start(fmt.Sprintf("r%d-%d", round, i), "read", reader), start(fmt.Sprintf("w%d-%d", round, i), "write", writer))
		}
		return old, start(fmt.Sprintf("w%d-hangs", round), "write", hangingWriter)
	}
	old, failing := release(0)
	if err != nil {
		return false, err
	}
	router, err := w.startPlatformRouter(opts, []class{{
		"Name": "note", "AimUs": 3500000, "DeadlineUs": 5000000, "Effect": "deduplicated", "DedupScope": "all", "LateWorth": 0.3,
		"Streamed": true, "WindowUs": windowLimit.Microseconds(), "Worth": 1.0,
	}})
	if err != nil {
		return false, err
	}
	defer router.kill()

	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
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
				got := ask(transport, router.address, id, "note", id, 5*time.Second)
				rec.logf("client: %s answered %d, error %v", id, got.status, got.err)
				mu.Lock()
				answers[got.status]++
				mu.Unlock()
			})
		}
	})
	for round := range windowRounds {
		time.Sleep(windowQuiet)
		if !opts.trouble {
			continue
		}
		writerHangs.Store(true)
		time.Sleep(windowToDrain)
		w.setPhase("terminating", old...)
		time.Sleep(windowToHang)
		for _, e := range mixed {
			e.hang(windowHang)
		}
		time.Sleep(windowToCrash)
		failing.crash()
		time.Sleep(windowToRestore)
		w.setPhase("terminated", append(old, failing)...)
		writerHangs.Store(false)
		old, failing = release(round + 1)
		if err != nil {
			return false, err
		}
		w.setPhase("in_service", append(old, failing)...)
	}
	close(stop)
	wait.Wait()
	if router.hasExited() {
		return false, fmt.Errorf("the router ended")
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	rec.say("%d requests ran, answers by status %v, %d repeats dropped within the window, %d run again later than %v after it",
		len(runs.first), answers, runs.dropped, runs.again, windowSlack)
	if answers[http.StatusOK] == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return runs.again > 0, nil
}
