package platformtest

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"martenlock/internal/enginetest"
)

// Request is a request that an engine received.
type Request struct {
	*enginetest.Request
	Engine     *Engine
	ID         string
	TimeBudget string // the X-Budget field, with its unit
}

// AwaitClose waits until the router has ended the connection, then calls the engine's onClose observer.
func (r *Request) AwaitClose() {
	r.Request.AwaitClose()
	if _, onClose := r.Engine.observers(); onClose != nil {
		onClose(r)
	}
}

// Script answers one request and reports whether the engine keeps the connection open.
type Script func(*Request) (keepOpen bool)

// Engine is a scripted engine on a loopback port.
type Engine struct {
	server     *enginetest.Engine
	ID, Flavor string
	// ListedAddress is the address in the endpoint list. If it is empty, Address is listed.
	ListedAddress string

	mu                 sync.Mutex
	onRequest, onClose func(*Request)
}

// Observe sets functions that are called on the goroutine of a connection. onRequest is called for each request before the
// script answers it. onClose is called when Request.AwaitClose has seen the end of the connection. Either may be nil.
func (e *Engine) Observe(onRequest, onClose func(*Request)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRequest, e.onClose = onRequest, onClose
}

func (e *Engine) observers() (onRequest, onClose func(*Request)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.onRequest, e.onClose
}

// StartEngines starts well-behaved engines of these flavors. Their ids are idPrefix-0, idPrefix-1 and so on.
func StartEngines(t *testing.T, idPrefix string, flavors ...string) []*Engine {
	t.Helper()
	engines := make([]*Engine, len(flavors))
	for i, flavor := range flavors {
		engines[i] = &Engine{ID: fmt.Sprintf("%s-%d", idPrefix, i), Flavor: flavor}
		engines[i].server = enginetest.Start(t, engines[i].serverScript(WellBehaved))
	}
	return engines
}

// serverScript adapts a Script to enginetest.
func (e *Engine) serverScript(script Script) enginetest.Script {
	return func(received *enginetest.Request) bool {
		request := &Request{Request: received, Engine: e, ID: received.Header.Get("X-Call-Id"), TimeBudget: received.Header.Get("X-Budget")}
		if onRequest, _ := e.observers(); onRequest != nil {
			onRequest(request)
		}
		return script(request)
	}
}

// SetScript sets the script that answers later requests.
func (e *Engine) SetScript(script Script) { e.server.SetScript(e.serverScript(script)) }

// Address returns the address on which the engine listens.
func (e *Engine) Address() string { return e.server.Addr().String() }

// Close makes the engine refuse new connections.
func (e *Engine) Close() { e.server.Close() }

// Accepted returns how many connections the engine has accepted.
func (e *Engine) Accepted() int { return e.server.Accepted() }

// Attempts returns how many attempts the engine has received, not counting KV releases and health checks.
func (e *Engine) Attempts() int { return e.server.CountRequests(http.MethodPost) }

// LatestRequest returns the latest request received. It panics if there is none.
func (e *Engine) LatestRequest() *enginetest.Request {
	requests := e.server.Requests()
	return requests[len(requests)-1]
}

// ForgetRequests discards the recorded requests.
func (e *Engine) ForgetRequests() { e.server.ForgetRequests() }

// Entry returns the engine's entry in the endpoint list. Its phase is InService.
func (e *Engine) Entry() Entry {
	return Entry{ID: e.ID, Address: cmp.Or(e.ListedAddress, e.Address()), Flavor: e.Flavor}
}

// EntryInPhase returns the engine's entry in another phase.
func (e *Engine) EntryInPhase(phase string) Entry {
	entry := e.Entry()
	entry.Phase = phase
	return entry
}

// Values that Engine.Role returns.
const (
	Prefill   = "prefill"
	Decode    = "decode"
	Colocated = "mixed" // as the golden files spell it
)

var roleByFlavor = map[string]string{
	"r1": Prefill, "x9": Prefill, "intake": Prefill, "desk": Prefill,
	"w1": Decode, "y9": Decode, "speaker": Decode, "reader-aloud": Decode,
	"m1": Colocated,
}

// Role returns the role of the engine's flavor.
func (e *Engine) Role() string { return roleByFlavor[e.Flavor] }

// WellBehaved is the script of a healthy engine.
func WellBehaved(r *Request) bool {
	switch {
	case r.Method == http.MethodDelete:
		return r.Write("HTTP/1.1 204 No Content\r\n\r\n")
	case r.Method == http.MethodGet:
		return r.Write(Status(http.StatusOK, ""))
	case r.Engine.Role() == Prefill:
		return r.Write(PrefillResponse)
	}
	return r.Write(Stream())
}

// ForAttempts returns a Script that answers attempts with script, and KV releases and health checks as a healthy engine
// does.
func ForAttempts(script Script) Script {
	return func(r *Request) bool {
		if r.Method != http.MethodPost {
			return WellBehaved(r)
		}
		return script(r)
	}
}

// Respond returns a Script that answers each attempt with these bytes.
func Respond(text string) Script {
	return ForAttempts(func(r *Request) bool { return r.Write(text) })
}

// RespondAndClose returns a Script that answers each attempt with these bytes and closes the connection.
func RespondAndClose(text string) Script {
	return ForAttempts(func(r *Request) bool {
		r.Write(text)
		return false
	})
}

// RespondAndStall returns a Script that answers each attempt with these bytes, then sends nothing more until the router
// ends the connection.
func RespondAndStall(text string) Script {
	return ForAttempts(func(r *Request) bool {
		r.Write(text)
		r.AwaitClose()
		return false
	})
}

// RespondAfter returns a Script that answers each attempt as a healthy engine does, once released is closed.
func RespondAfter(released <-chan struct{}) Script {
	return ForAttempts(func(r *Request) bool {
		<-released
		return WellBehaved(r)
	})
}

// ResetAttempts is a Script that resets the TCP connection of each attempt instead of responding.
func ResetAttempts(r *Request) bool {
	return ForAttempts(func(r *Request) bool {
		r.Reset()
		return false
	})(r)
}

// RespondByTest returns a Script that sends the connection of each attempt on conns. The test responds on it.
func RespondByTest(conns chan<- net.Conn) Script {
	return ForAttempts(func(r *Request) bool {
		conns <- r.Conn
		r.AwaitClose()
		return false
	})
}
