package platform

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"martenlock/control"
	"martenlock/internal/timerwheel"
)

// TraceVariable is the environment variable that switches the trace on. docs/platform.md describes its
// values and the lines of the trace.
const TraceVariable = "MARTENLOCK_TRACE"

// Values of TraceVariable. All others switch the trace off.
const (
	// traceLevelEngines logs clients and engines at each interval.
	traceLevelEngines = "1"
	// traceLevelRequests also logs each request that did not go smoothly. It is too much for normal service.
	traceLevelRequests = "2"
)

// traceInterval is the time between two sets of trace lines. Engines' counts are those of one interval.
const traceInterval = time.Second

// engineTracer logs for each engine, at each interval, the decision module's view of it beside what
// has passed on its sockets.
type engineTracer struct {
	timer timerwheel.Timer
	last  map[control.EndpointID]engineTraffic // as of the previous interval
}

// engineTraffic counts what has passed on the sockets of one engine since the server's start.
type engineTraffic struct {
	attempts       uint64
	firstEvents    uint64
	firstEventWait time.Duration               // sum over all first events
	longestWait    time.Duration               // for a first event, in this interval
	results        [control.NotSent + 1]uint64 // of attempts, by control.Result
}

// startTrace switches the trace on if level, the value of TraceVariable, asks for it.
func (s *Server) startTrace(level string) {
	if level != traceLevelEngines && level != traceLevelRequests {
		return
	}
	s.traceRequests = level == traceLevelRequests
	tracer := &engineTracer{last: map[control.EndpointID]engineTraffic{}}
	s.tracing = tracer
	tracer.timer.Fire = func() {
		s.traceClients()
		s.traceEngines()
		s.loop.StartTimer(&tracer.timer, traceInterval)
	}
	s.loop.StartTimer(&tracer.timer, traceInterval)
}

// traceClients logs the clients' connections and the counters since the start.
func (s *Server) traceClients() {
	line := s.log.Info().
		Int("client_sockets", s.clients.Listener.Open()).
		Int("client_connections", s.clients.Len()).
		Int("active_requests", len(s.exchanges.ByID)).
		Int("engine_connections", s.endpoints.connBudget.Open()).
		Int("buffered_bytes", s.bufferedBytes)
	s.counters.appendEvictionsTo(line).
		Uint64("panics", s.counters.panics).
		Msg("client trace")
}

// traceEngines logs a line for each engine.
func (s *Server) traceEngines() {
	last := s.tracing.last
	maps.DeleteFunc(last, func(id control.EndpointID, _ engineTraffic) bool { return s.endpoints.byID[id] == nil })
	for _, id := range slices.Sorted(maps.Keys(s.endpoints.byID)) {
		engine := s.endpoints.byID[id]
		previous := last[id]
		last[id] = engine.traffic
		s.traceEngine(id, engine, previous)
		engine.traffic.longestWait = 0
	}
}

// traceEngine logs the decision module's view of an engine beside its traffic since previous.
func (s *Server) traceEngine(id control.EndpointID, engine *endpoint, previous engineTraffic) {
	view, isKnown := s.mailbox.Router.EndpointStatus(id)
	traffic := &engine.traffic
	line := s.log.Info().
		Str("endpoint", strconv.FormatUint(uint64(id), 16)).
		Str("address", engine.address).
		Int("kind", engine.kind).
		Bool("known", isKnown).
		Stringer("state", view.State).
		Int("view_attempts_in_flight", view.InFlight).
		Int("view_streams", view.Streaming).
		Float64("failure_rate", view.FailureRate).
		Bool("ejected", view.Ejected).
		Float64("relative_latency", view.RelativeLatency).
		Bool("slow_start", view.SlowStart).
		Dur("rejecting_for_ms", view.RejectingFor).
		Int("attempts_in_flight", len(engine.attempts)).
		Int("connections", engine.Open()).
		Int("idle_connections", engine.Idle()).
		Uint64("attempts", traffic.attempts-previous.attempts).
		Uint64("first_events", traffic.firstEvents-previous.firstEvents)
	firstEvents := traffic.firstEvents - previous.firstEvents
	if firstEvents > 0 {
		meanWait := (traffic.firstEventWait - previous.firstEventWait) / time.Duration(firstEvents)
		line = line.Dur("mean_first_event_ms", meanWait).Dur("max_first_event_ms", traffic.longestWait)
	}
	for result := range traffic.results {
		count := traffic.results[result] - previous.results[result]
		if count > 0 {
			line = line.Uint64(control.Result(result).String(), count)
		}
	}
	line.Msg("engine trace")
}
