package eventloop

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// TestBufferedOutputBoundedForSlowPeer echoes 8 MiB to a peer that starts to read late. The buffered
// output stays bounded, and all bytes come back in order.
func TestBufferedOutputBoundedForSlowPeer(t *testing.T) {
	const highWaterMark = 64 << 10
	l, do := start(t, Options{HighWaterMark: highWaterMark})
	e := newEcho()
	c := dial(t, listen(t, l, do, func(*Conn) Handler { return e }))
	sent := make([]byte, 8<<20)
	for i := range sent {
		sent[i] = byte(i * 7 >> 8)
	}

	go func() {
		_, _ = c.Write(sent) // after a failure, the bytes that come back differ
		_ = c.CloseWrite()
	}()
	time.Sleep(50 * time.Millisecond) // lets the buffers fill; the assertions do not depend on it
	got, err := io.ReadAll(c)

	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("got %d bytes of %d, %v", len(got), len(sent), err)
	}
	if event := <-e.events; event != "eof" {
		t.Errorf("event %q, want eof", event)
	}
	do(func() {
		if e.maxUnsent > highWaterMark+scratchSize {
			t.Errorf("buffered %d bytes, want at most the high-water mark and one read", e.maxUnsent)
		}
	})
}
