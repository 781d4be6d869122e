package eventloop

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestCloseWhileConnectingSendsOutputFirst: a connection on which Close is called before it is
// established still sends its output to the peer. Its handler gets no call.
func TestCloseWhileConnectingSendsOutputFirst(t *testing.T) {
	l, do := start(t, Options{})
	peer, err := net.Listen("tcp", local.String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	handler := &eventCounter{}

	do(func() {
		c, err := l.Dial(netip.MustParseAddrPort(peer.Addr().String()), handler)
		if err != nil {
			t.Error(err)
			return
		}
		c.Write([]byte("last words"))
		c.Close()
	})

	accepted, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	accepted.SetDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(accepted)
	if err != nil || string(got) != "last words" {
		t.Errorf("peer received %q, %v; want the output written before Close", got, err)
	}
	do(func() {
		if handler.opened+handler.closed != 0 {
			t.Errorf("Opened was called %d times, Closed %d times", handler.opened, handler.closed)
		}
	})
}
