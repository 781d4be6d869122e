package httpserver_test

import (
	"net/http"
	"strings"
	"testing"

	"martenlock/internal/httpserver"
)

func TestLongestIdleConnectionIsEvictedFirst(t *testing.T) {
	// given: four connections; the first became idle last, the second is serving and the fourth receiving
	s := startServer(t, longTimeouts())
	answered, answeredHandler := s.dial()
	serving, servingHandler := s.dial()
	third, thirdHandler := s.dial()
	receiving, receivingHandler := s.dial()
	serving.send(get("/later"))
	receiving.send("GET /a HT")
	s.waitFor("both are busy", func() bool {
		return servingHandler.conn.State() == httpserver.Serving && receivingHandler.conn.State() == httpserver.Receiving
	})
	answered.send(get("/a"))
	answered.expectResponse(http.StatusOK, "/a")

	// when
	evict := func() (found bool) {
		s.loop.DoIteration(func() { found = s.conns.EvictIdle() })
		return found
	}

	// then
	for i, want := range []*testHandler{thirdHandler, answeredHandler} {
		if !evict() {
			t.Fatalf("eviction %d found no idle connection", i)
		}
		s.loop.Do(func() {
			if !want.has("evicted") || want.conn.State() != httpserver.Closed || s.conns.Len() != 3-i {
				t.Errorf("eviction %d: handler got %q, state %v, %d open connections; want evicted, closed, %d",
					i, want.calls, want.conn.State(), s.conns.Len(), 3-i)
			}
		})
	}
	third.expectEnd()
	answered.expectEnd()
	if evict() {
		t.Error("a busy connection was evicted")
	}
	s.loop.DoIteration(func() { servingHandler.respond(http.StatusOK, "late") })
	serving.expectResponse(http.StatusOK, "late")
	receiving.send("TP/1.1\r\nHost: x\r\n\r\n")
	receiving.expectResponse(http.StatusOK, "/a")
}

func TestLargestUploadIsEvictedForMemory(t *testing.T) {
	options := longTimeouts()
	options.EvictsUploads = true
	s := startServer(t, options)
	s.loop.Do(func() { s.memory.bound = 1000 })
	var clients []*client
	var handlers []*testHandler
	for _, bytes := range []int{300, 400, 300} {
		c, h := s.dial()
		c.send(postHead("/echo", "500"), strings.Repeat("x", bytes))
		s.waitFor("the bytes are buffered", func() bool { return len(h.conn.Body()) == bytes })
		clients, handlers = append(clients, c), append(handlers, h)
	}

	// The largest upload is evicted first. Of two equal ones, the older connection is evicted.
	first, _ := s.dial()
	body := strings.Repeat("y", 400)
	first.send(postHead("/echo", "400"), body)
	first.expectResponse(http.StatusOK, body)
	clients[1].expectResponse(http.StatusServiceUnavailable, "upload evicted")
	clients[1].expectEnd()

	second, _ := s.dial()
	body = strings.Repeat("z", 500)
	second.send(postHead("/echo", "500"), body)
	second.expectResponse(http.StatusOK, body)
	clients[0].expectResponse(http.StatusServiceUnavailable, "upload evicted")
	clients[0].expectEnd()

	s.loop.Do(func() {
		if handlers[2].conn.State() != httpserver.Receiving || handlers[2].has("upload evicted") {
			t.Errorf("third upload: state %v, handler got %q; want receiving", handlers[2].conn.State(), handlers[2].calls)
		}
	})
}

func TestLargestUploadThatNeedsMemoryIsAborted(t *testing.T) {
	options := longTimeouts()
	options.EvictsUploads = true
	s := startServer(t, options)
	s.loop.Do(func() { s.memory.bound = 1000 })
	small, smallHandler := s.dial()
	small.send(postHead("/echo", "101"), strings.Repeat("x", 100))
	s.waitFor("the bytes are buffered", func() bool { return len(smallHandler.conn.Body()) == 100 })
	large, largeHandler := s.dial()
	large.send(postHead("/echo", "2000"), strings.Repeat("x", 900))
	s.waitFor("the bytes are buffered", func() bool { return len(largeHandler.conn.Body()) == 900 })

	large.send("x")

	large.expectResponse(http.StatusServiceUnavailable, "out of memory")
	large.expectEnd()
	small.send("x")
	small.expectResponse(http.StatusOK, strings.Repeat("x", 101))
}

func TestBodyBeyondMemoryIsAborted(t *testing.T) {
	s := startServer(t, longTimeouts())
	s.loop.Do(func() { s.memory.bound = 1000 })
	first, firstHandler := s.dial()
	first.send(postHead("/echo", "901"), strings.Repeat("x", 900))
	s.waitFor("the bytes are buffered", func() bool { return len(firstHandler.conn.Body()) == 900 })
	second, _ := s.dial()

	second.send(postHead("/echo", "200"), strings.Repeat("x", 200))

	second.expectResponse(http.StatusServiceUnavailable, "out of memory")
	second.expectEnd()
	first.send("x")
	first.expectResponse(http.StatusOK, strings.Repeat("x", 901))
	s.waitFor("all memory is released", func() bool { return s.memory.used == 0 })
}

func TestBodyBeyondParsingLimitIsMalformed(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, _ := s.dial()

	client.send(postHead("/echo", "1048577"))

	if answer := client.receive(http.MethodPost); answer.status != http.StatusRequestEntityTooLarge || !answer.closes {
		t.Errorf("got %+v, want status 413 with Connection: close", answer)
	}
	client.expectEnd()
}

func TestMemoryOfTakenBodyStaysReserved(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, h := s.dial()
	client.sendAndServe(h, postHead("/later", "4"), "body")

	var taken []byte
	s.loop.DoIteration(func() {
		taken = h.conn.TakeBody()
		h.respond(http.StatusOK, "done")
	})

	client.expectResponse(http.StatusOK, "done")
	s.loop.Do(func() {
		if string(taken) != "body" || s.memory.used != len(taken) {
			t.Errorf("TakeBody returned %q, %d bytes reserved; want %q, 4", taken, s.memory.used, "body")
		}
	})
}

func TestStopKeepAliveClosesAfterTheNextResponse(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, h := s.dial()
	client.sendAndServe(h, get("/later"))

	s.loop.DoIteration(func() {
		s.conns.StopKeepAlive()
		h.respond(http.StatusOK, "last")
	})

	if answer := client.expectResponse(http.StatusOK, "last"); !answer.closes {
		t.Errorf("got %+v, want Connection: close", answer)
	}
	client.expectEnd()
}

func TestOnlyCloseAfterResponsesAffectsStartedResponse(t *testing.T) {
	for name, c := range map[string]struct {
		stop     func(*httpserver.Conns)
		wantOpen bool
	}{
		"StopKeepAlive":       {stop: (*httpserver.Conns).StopKeepAlive, wantOpen: true},
		"CloseAfterResponses": {stop: (*httpserver.Conns).CloseAfterResponses},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, longTimeouts())
			client, h := s.dial()
			client.sendAndServe(h, get("/later"))

			s.loop.DoIteration(func() {
				h.startBody()
				c.stop(s.conns)
				h.conn.WriteBody([]byte("body"))
				h.conn.EndBody()
				if isOpen := h.conn.State() == httpserver.Idle; isOpen != c.wantOpen {
					t.Errorf("state %v after the response, want open %v", h.conn.State(), c.wantOpen)
				}
			})

			client.expectResponse(http.StatusOK, "body")
		})
	}
}

func TestCloseIdleLeavesBusyConnections(t *testing.T) {
	s := startServer(t, longTimeouts())
	idle, idleHandler := s.dial()
	serving, servingHandler := s.dial()
	serving.sendAndServe(servingHandler, get("/later"))

	s.loop.DoIteration(s.conns.CloseIdle)

	idle.expectEnd()
	s.loop.DoIteration(func() {
		if !idleHandler.has("shutdown") || s.conns.Len() != 1 {
			t.Errorf("idle connection's handler got %q, %d open connections; want shutdown, 1", idleHandler.calls, s.conns.Len())
		}
		servingHandler.respond(http.StatusOK, "answer")
	})
	serving.expectResponse(http.StatusOK, "answer")
}
