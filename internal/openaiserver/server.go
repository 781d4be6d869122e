// Package openaiserver is the server behind OpenAI's API. It turns the bytes of clients and engines into events of the
// decision module (control.Router), and the module's actions into bytes. It makes no decisions of its own about where,
// when and how often a request is forwarded.
//
// All of its state belongs to one event loop. Only Addr, Run, SetEndpoints, Reload, Shutdown and Stats may be called from
// other goroutines.
package openaiserver

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/internal/config"
	"martenlock/internal/endpointlist"
	"martenlock/internal/eventloop"
	"martenlock/internal/httpserver"
)

// Server serves OpenAI's API on one listener. New returns one.
type Server struct {
	loop      *eventloop.Loop
	config    *config.Config
	log       zerolog.Logger
	startedAt time.Time

	clients  *httpserver.Conns
	pools    poolTable
	engines  engineTable
	topology topology

	requestIDs    requestIDs
	seed          uint64 // of the decision modules' random choices
	openRequests  int    // accepted for a pool and not yet answered
	bufferedBytes int64  // of request bodies and buffered answers

	shutdown shutdown
	counters counters
}

// counters are the server's counters since its start.
type counters struct {
	served    uint64
	rejected  uint64
	failed    uint64
	canceled  uint64 // the client has left
	oversized uint64 // no engine has the memory for the request

	idleConnsEvicted uint64 // idle client connections closed in favour of new ones
}

// maxBufferedBytes bounds the bodies and the buffered answers of all requests together.
const maxBufferedBytes = 1 << 30

// clockStart is the time on the decision module's clock when the loop starts: one day. An engine that started up to a
// day before this server so has a start above zero.
const clockStart = control.Time(24 * 3600 * 1e6)

// New returns a server that listens. Connections are served once Run is called. list is the first endpoint list.
func New(cfg *config.Config, list []endpointlist.Endpoint, log zerolog.Logger) (*Server, error) {
	loop, err := eventloop.New(eventloop.Options{OnPanic: func(reason any) {
		log.Error().Str("panic", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Msg("handler panicked, connection closed")
	}})
	if err != nil {
		return nil, err
	}
	var random [16]byte
	_, err = rand.Read(random[:])
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:       loop,
		config:     cfg,
		log:        log,
		startedAt:  time.Now(),
		engines:    newEngineTable(),
		topology:   newTopology(),
		requestIDs: newRequestIDs(binary.LittleEndian.Uint64(random[:8])),
		seed:       cfg.Seed,
	}
	if s.seed == 0 {
		s.seed = binary.LittleEndian.Uint64(random[8:])
	}
	s.clients = httpserver.NewConns(loop, bodyMemory{server: s})
	s.createPools()
	s.clients.Listener, err = loop.Listen(cfg.Listen, s.accept)
	if err != nil {
		return nil, err
	}
	s.applyLimits()
	s.applyEndpoints(list)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.clients.Listener.Addr().String() }

// Run serves until a shutdown is complete. It returns the error of the event loop, if any.
func (s *Server) Run() error { return s.loop.Run() }

// now returns the present time on the decision module's clock.
func (s *Server) now() control.Time { return clockStart.Add(s.loop.Now()) }

// controlTime converts wall-clock time to the decision module's clock. It returns 0 for a time before the clock's zero
// and for the zero time.
func (s *Server) controlTime(at time.Time) control.Time {
	if at.IsZero() {
		return 0
	}
	age := time.Since(at)
	moduleTime := s.now().Add(-age)
	if age < clockStart.Sub(0)+s.loop.Now() {
		return max(moduleTime, 1)
	}
	return 0
}

// requestIDs generates the ids under which engines know requests.
type requestIDs struct {
	prefix   string
	sequence uint64
}

// idBase is the base of the numbers in request ids, the largest of strconv.
const idBase = 36

// newRequestIDs returns a generator whose ids start with a random number. Two routers, or one before and after a
// restart, must not use the same id at an engine.
func newRequestIDs(random uint64) requestIDs {
	return requestIDs{prefix: "ml-" + strconv.FormatUint(random, idBase) + "-"}
}

// next returns a new id.
func (r *requestIDs) next() string {
	r.sequence++
	return r.prefix + strconv.FormatUint(r.sequence, idBase)
}
