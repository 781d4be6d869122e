// Package openaiserver serves OpenAI's API to clients and forwards their requests to engines. It translates network
// traffic into events of the decision module (control.Router) and carries out the module's actions. The module decides
// where, when and how often a request is forwarded.
//
// All state of a Server belongs to one event loop. Only Addr, Run, SetEndpoints, Reload, Shutdown and Stats may be called
// from other goroutines.
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

// Server serves OpenAI's API on one listener. The zero value is not usable; call New.
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
	seed          uint64 // for the decision modules' random choices
	openRequests  int    // accepted for a pool and not yet answered
	bufferedBytes int64  // of request bodies, buffered answers and copies of inputs, and the estimated overhead of items

	shutdown shutdown
	counters counters
}

// counters count requests and evicted connections since the server's start. The first four count requests that were
// accepted for a pool, by outcome.
type counters struct {
	served    uint64
	rejected  uint64
	failed    uint64
	canceled  uint64 // the client has disconnected
	oversized uint64 // rejected because the request exceeds the model's context length or the memory of every engine

	idleConnsEvicted uint64 // idle client connections closed to make room for new ones
}

// maxBufferedBytes limits Server.bufferedBytes. Only request bodies, engines' responses and new requests are checked
// against it.
const maxBufferedBytes = 1 << 30

// hasMemoryFor reports whether a number of further bytes may be buffered.
func (s *Server) hasMemoryFor(bytes int) bool {
	return s.bufferedBytes+int64(bytes) <= maxBufferedBytes
}

// clockStart is the time on the decision module's clock when the event loop starts: one day, in microseconds. It is not
// 0 so that an engine that started up to a day before this server has a positive start time.
const clockStart = control.Time(24 * 3600 * 1e6)

// New returns a server that listens on the configured address. It serves connections once Run is called. list is the
// initial endpoint list.
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

// Addr returns the address on which the server listens. If the configured port is 0, the address has the port that the
// kernel has chosen.
func (s *Server) Addr() string { return s.clients.Listener.Addr().String() }

// Run serves until a shutdown is complete. It returns an error if the event loop fails.
func (s *Server) Run() error { return s.loop.Run() }

// now returns the current time on the decision module's clock.
func (s *Server) now() control.Time { return clockStart.Add(s.loop.Now()) }

// controlTime converts a wall-clock time to the decision module's clock. It returns 0 for the zero time and for times
// before the clock's zero.
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

// requestIDs generates the ids that are sent to engines as X-Request-Id.
type requestIDs struct {
	prefix   string
	sequence uint64
}

// idBase is the base of the numbers in request ids. It is the largest base that strconv supports.
const idBase = 36

// newRequestIDs returns a generator whose ids start with the given random number. The number keeps ids unique on an
// engine across routers and across restarts of a router.
func newRequestIDs(random uint64) requestIDs {
	return requestIDs{prefix: "ml-" + strconv.FormatUint(random, idBase) + "-"}
}

func (r *requestIDs) next() string {
	r.sequence++
	return r.prefix + strconv.FormatUint(r.sequence, idBase)
}
