package eventloop

import (
	"io"
	"net"
	"testing"
)

// BenchmarkEcho measures a round trip of 512 bytes over an open connection: one read, one buffered
// write and one flush. It allocates twice: the list of segments and the list of connections to flush.
func BenchmarkEcho(b *testing.B) {
	l, err := New(Options{})
	if err != nil {
		b.Fatal(err)
	}
	ln, err := l.Listen(local, func(*Conn) Handler { return newEcho() })
	if err != nil {
		b.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	message := make([]byte, 512)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(client, message); err != nil {
			b.Fatal(err)
		}
	}
	client.Close()
	l.Post(l.Stop)
	if err := <-ended; err != nil {
		b.Error(err)
	}
}
