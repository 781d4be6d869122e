package upstream

import (
	"net"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/timerwheel"
)

// TestRequestNotSentWithinDeadlineFails: a request whose last byte has not left this process within
// SendWithin fails and is reported as not written. A request that has been sent does not fail.
func TestRequestNotSentWithinDeadlineFails(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 9})
	testEnds := make(chan struct{})
	defer close(testEnds)
	engine := enginetest.Listen(t, func(*net.TCPConn) { <-testEnds }) // reads nothing
	pool := f.newPool(engine.Addr())
	stillRunning := ConnError{Malformed: "still running"}
	for _, c := range []struct {
		name string
		body int
		want ConnError
	}{
		{"sent", 0, stillRunning},
		{"more than the kernel buffers", 32 << 20, ConnError{Established: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := newRecordedResponse()
			f.loop.Do(func() {
				conn, err := pool.Start(response, []byte("POST / HTTP/1.1\r\n\r\n"), make([]byte, c.body), false)
				if err != nil {
					t.Error(err)
					response.Failed(ConnError{})
					return
				}
				conn.SendWithin(150 * time.Millisecond)
				later := &timerwheel.Timer{Fire: func() { response.Failed(stillRunning) }}
				f.loop.StartTimer(later, 300*time.Millisecond)
			})
			if got := <-response.ended; got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// headBuilder counts how often the head of its request is built.
type headBuilder struct {
	*recordedResponse
	headsBuilt int
}

func (b *headBuilder) RequestHead() []byte {
	b.headsBuilt++
	return getRequest
}

// TestRequestHeadBuiltOnceWhenConnectionEstablished: RequestHead of a HeadBuilder is called once, when a
// new connection is established or within Start on an idle one. Its result replaces the head given to
// Start.
func TestRequestHeadBuiltOnceWhenConnectionEstablished(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	for i := range 2 { // over a new connection, then over an idle one
		b := &headBuilder{recordedResponse: newRecordedResponse()}
		f.loop.Do(func() {
			if _, err := f.pool.Start(b, []byte("not this"), nil, false); err != nil {
				t.Error(err)
			}
			if b.headsBuilt != i {
				t.Errorf("request %d: head was built %d times within Start, want %d", i, b.headsBuilt, i)
			}
		})
		f.expectComplete(b.recordedResponse)
		if b.headsBuilt != 1 {
			t.Errorf("request %d: head was built %d times, want once", i, b.headsBuilt)
		}
	}
	f.expectEngineEvents("connection", "request", "request")
}
