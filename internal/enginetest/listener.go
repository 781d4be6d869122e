// Package enginetest provides engines for tests, on loopback sockets: listeners, engines whose responses a script writes, and
// addresses that refuse or never establish a connection.
//
// It implements HTTP/1.1 only, not the API of an engine. Package platformtest adds the platform's protocol.
package enginetest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// serveTimeout limits the wait at the end of a test for the goroutines that serve connections. They return once their
// connections are closed, unless a script still waits for something else.
const serveTimeout = 10 * time.Second

// Listener accepts connections on a loopback port until its test ends.
type Listener struct {
	listener   *net.TCPListener
	address    netip.AddrPort
	goroutines sync.WaitGroup // the accept loop and the goroutines that serve connections

	mu        sync.Mutex
	conns     map[*net.TCPConn]bool // connections being served
	accepted  int
	testEnded bool // connections accepted from now on are closed at once
}

// Listen starts a listener that runs serve for each connection, on a separate goroutine, and closes the connection after
// serve has returned. When the test ends, it closes the listener and all connections. The test fails if a call of serve
// has not returned within serveTimeout after that.
func Listen(t *testing.T, serve func(*net.TCPConn)) *Listener {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{listener: listener, address: listener.Addr().(*net.TCPAddr).AddrPort(), conns: map[*net.TCPConn]bool{}} //nolint:forcetypeassert // a TCP listener has a TCP address
	l.goroutines.Go(func() { l.acceptAll(serve) })
	t.Cleanup(func() {
		t.Helper()
		if err := l.closeAll(); err != nil {
			t.Error(err)
		}
	})
	return l
}

func (l *Listener) acceptAll(serve func(*net.TCPConn)) {
	for {
		conn, err := l.listener.AcceptTCP()
		if err != nil {
			return
		}
		if !l.add(conn) {
			_ = conn.Close()
			return
		}
		l.goroutines.Go(func() {
			defer l.remove(conn)
			serve(conn)
		})
	}
}

// add registers an accepted connection. It returns false if the test has ended.
func (l *Listener) add(conn *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.testEnded {
		return false
	}
	l.conns[conn] = true
	l.accepted++
	return true
}

func (l *Listener) remove(conn *net.TCPConn) {
	_ = conn.Close() // it may be closed already
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// closeAll closes the listener and its connections, and waits until the goroutines that serve them have returned.
func (l *Listener) closeAll() error {
	l.Close()
	l.mu.Lock()
	l.testEnded = true
	for conn := range l.conns {
		_ = conn.Close() // serve may have closed it already
	}
	l.mu.Unlock()
	served := make(chan struct{})
	go func() {
		l.goroutines.Wait()
		close(served)
	}()
	select {
	case <-served:
		return nil
	case <-time.After(serveTimeout):
		return errors.New("a connection is still being served at the end of the test")
	}
}

// Close stops accepting connections, so that new ones are refused. Accepted connections stay open.
func (l *Listener) Close() {
	_ = l.listener.Close() // it may be closed already
}

// Addr returns the listener's address.
func (l *Listener) Addr() netip.AddrPort { return l.address }

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// Reset closes a connection, with a reset (RST) if it is a TCP connection.
func Reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// AwaitClose reads and discards input until the connection is closed or reset, by the peer or at the end of the test.
func AwaitClose(reader io.Reader) {
	_, _ = io.Copy(io.Discard, reader)
}

// RefusingAddress returns a loopback address that refuses connections until the test ends.
func RefusingAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	_, address := bindLoopback(t) // bound but not listening, so it refuses connections, and no other process can use it
	return address
}

// UnreachableAddress returns a loopback address on which no connection is established until the test ends: its listener
// accepts none, and its backlog is full.
func UnreachableAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, address := bindLoopback(t)
	if err := unix.Listen(listener, 0); err != nil {
		t.Fatal(err)
	}
	target := &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	for range 2 { // a backlog of 0 holds one connection; the second one stays pending
		if err := unix.Connect(newSocket(t, unix.SOCK_NONBLOCK), target); err != nil && !errors.Is(err, unix.EINPROGRESS) {
			t.Fatal(err)
		}
	}
	return address
}

// bindLoopback returns a socket bound to a free loopback port, and its address.
func bindLoopback(t *testing.T) (socket int, address netip.AddrPort) {
	t.Helper()
	socket = newSocket(t, 0)
	loopback := [4]byte{127, 0, 0, 1}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: loopback}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	bound, isInet4 := name.(*unix.SockaddrInet4)
	if !isInet4 {
		t.Fatal(fmt.Errorf("socket is bound to an address of type %T, want *unix.SockaddrInet4", name))
	}
	return socket, netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(bound.Port))
}

// newSocket opens a TCP socket, which is closed when the test ends.
func newSocket(t *testing.T, flags int) int {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|flags, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	return socket
}
