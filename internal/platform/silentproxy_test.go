package platform

import (
	"net"
	"sync"
	"testing"

	"martenlock/internal/enginetest"
)

// silentProxy is a TCP proxy in front of an engine that can simulate a network outage. While it is cut, it keeps
// connections open, reads all bytes and forwards none.
type silentProxy struct {
	listener *enginetest.Listener
	target   string // address of the engine

	mu       sync.Mutex
	clients  []*net.TCPConn
	engines  []net.Conn
	isCut    bool
	isClosed bool
}

// startSilentProxy starts a proxy in front of the engine at target. It runs until the test ends.
func startSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	p := &silentProxy{target: target}
	p.listener = enginetest.Listen(t, p.serve)
	t.Cleanup(p.closeEngineConns)
	return p
}

// serve forwards one connection in both directions.
func (p *silentProxy) serve(client *net.TCPConn) {
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.clients = append(p.clients, client)
	p.engines = append(p.engines, engine)
	if p.isClosed {
		engine.Close()
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(client, engine) })
	directions.Go(func() { p.forward(engine, client) })
	directions.Wait()
}

// forward copies bytes in one direction until from ends, and discards them while the proxy is cut.
func (p *silentProxy) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		isCut := p.isCut
		p.mu.Unlock()
		if !isCut && n > 0 {
			_, _ = to.Write(buffer[:n]) // an error ends the other direction, which reads from this connection
		}
		if err != nil {
			if !isCut {
				to.Close()
			}
			return
		}
	}
}

// setCut sets whether the proxy is cut.
func (p *silentProxy) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
}

// reset resets all client connections accepted so far.
func (p *silentProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		enginetest.Reset(client)
	}
	p.clients = nil
}

func (p *silentProxy) closeEngineConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, conn := range p.engines {
		conn.Close()
	}
}
