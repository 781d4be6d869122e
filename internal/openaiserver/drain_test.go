package openaiserver_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestDrainingEngineGetsNoRequestAfterItsGracePeriod drains and replaces each engine under load. The harness checks that
// a draining engine gets no attempts after its grace period, and that slow start keeps the replacements from overload.
func TestDrainingEngineGetsNoRequestAfterItsGracePeriod(t *testing.T) {
	specs := prefillDecodeSpecs(2, 2)
	indexByName := map[string]int{}
	for i := range specs {
		specs[i].SlowStartInitialShare, specs[i].SlowStartDuration = 0.3, 6*time.Second
		indexByName[specs[i].Name] = i
	}
	h := startHarness(t, specs)
	load := startLoad(h, 16)

	for i, name := range []string{"d1", "p1", "d2", "p2"} {
		h.waitUntil("requests are served", func() bool { return load.served.Load() > int64(100*(i+1)) })
		replacement := specs[indexByName[name]]
		replacement.Name += "-next"
		err := h.AddEngine(replacement, true)
		if err != nil {
			t.Fatal(err)
		}
		h.setState("draining", name)
		engine := h.engine(name)
		h.waitUntil("the engine is drained", func() bool {
			stats := engine.Stats()
			return stats.Running+stats.Waiting == 0
		})
	}

	servedBefore := load.served.Load()
	h.waitUntil("requests are served by the replacements alone", func() bool { return load.served.Load() > servedBefore+20 })
	load.stop()
	if h.engine("d1-next").Stats().Served == 0 {
		t.Error("replacement d1-next served no request")
	}
}

// load is a group of clients. Each sends requests of one class, one after another.
type load struct {
	served  atomic.Int64
	stopped chan struct{}
	clients sync.WaitGroup
}

// startLoad starts the given number of clients. Their classes alternate.
func startLoad(h *harness, clients int) *load {
	l := &load{stopped: make(chan struct{})}
	for i := range clients {
		l.clients.Go(func() { l.run(h, i) })
	}
	return l
}

// run sends requests until the load is stopped.
func (l *load) run(h *harness, client int) {
	for {
		select {
		case <-l.stopped:
			return
		default:
		}
		class := []string{"ask", "job", "note"}[client%3]
		received := h.send(request{stream: client%2 == 0, maxTokens: 5, class: class, session: fmt.Sprint(client)})
		if received.served() {
			l.served.Add(1)
		}
	}
}

// stop stops the clients and waits for them.
func (l *load) stop() {
	close(l.stopped)
	l.clients.Wait()
}
