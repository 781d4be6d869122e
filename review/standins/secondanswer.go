package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// Figures of the case second-answer.
const (
	secondAnswerTime  = 40 * time.Second
	secondAnswerRate  = 40.0 // requests a second
	secondAnswerShare = 0.1  // of the streams
)

// secondAnswer plays clients and four engines. A share of the streams is good but brings a second answer some
// milliseconds later, on the same connection. Each client must get the events of its own request.
func secondAnswer(opts options, rec *recorder) (broken bool, err error) {
	w, err := newWorld(rec)
	if err != nil {
		return false, err
	}
	random := rand.New(rand.NewPCG(1, 1))
	var randomMu sync.Mutex
	draw := func() float64 {
		randomMu.Lock()
		defer randomMu.Unlock()
		return random.Float64()
	}
	defer w.close()
	reader := func(e *engine, conn net.Conn, id string, _ time.Time) bool {
		return read(e, conn, id, 10*time.Millisecond)
	}
	writer := func(e *engine, conn net.Conn, id string, _ time.Time) bool {
		taken, open := takeState(e, conn, id)
		if !taken {
			return open
		}
		if !stream(conn, id, 10*time.Millisecond) {
			return false
		}
		if opts.trouble && draw() < secondAnswerShare {
			time.Sleep(time.Duration((2 + 6*draw()) * float64(time.Millisecond)))
			rec.logf("%s: second answer to %s", e.name, id)
			answer := streamHead
			for _, event := range streamEvents(id) {
				answer += chunk(event)
			}
			return write(conn, answer+"0\r\n\r\n")
		}
		return true
	}
	for i := range 2 {
		if _, err := w.startEngine(fmt.Sprintf("r%d", i), "read", reader); err != nil {
			return false, err
		}
		if _, err := w.startEngine(fmt.Sprintf("w%d", i), "write", writer); err != nil {
			return false, err
		}
	}
	r, err := w.startPlatformRouter(opts, siteClasses())
	if err != nil {
		return false, err
	}
	defer r.kill()

	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	var wait sync.WaitGroup
	var mu sync.Mutex
	served, foreign, changed, other := 0, 0, 0, 0
	end := time.Now().Add(secondAnswerTime)
	for n := 0; time.Now().Before(end); n++ {
		id := callID(n)
		wait.Go(func() {
			rec.logf("client: %s sent", id)
			got := ask(transport, r.address, id, shortQuestion, id, 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status == http.StatusOK && got.err == nil && got.body == strings.Join(streamEvents(id), ""):
				served++
				rec.logf("client: %s served", id)
			case got.status == http.StatusOK && got.err == nil && strings.Contains(got.body, "data: ") && !strings.Contains(got.body, id):
				foreign++
				rec.logf("client: %s was answered 200, whole, with events that no engine made for it: %q", id, got.body)
			case got.status == http.StatusOK && got.err == nil:
				changed++
				rec.logf("client: %s was answered 200, whole, with changed events: %q", id, got.body)
			default:
				other++
				rec.logf("client: %s answered %d, error %v", id, got.status, got.err)
			}
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / secondAnswerRate * float64(time.Second)))
	}
	wait.Wait()
	if r.hasExited() {
		return false, fmt.Errorf("the router ended")
	}
	rec.say("%d served, %d served with another request's events, %d with changed ones, %d refused, failed or cut", served, foreign, changed, other)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return foreign+changed > 0, nil
}
