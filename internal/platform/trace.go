package platform

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"martenlock/control"
	"martenlock/internal/timerwheel"
)

// TraceVariable is the environment variable that enables the trace. docs/platform.md describes its values
// and the lines of the trace.
const TraceVariable = "MARTENLOCK_TRACE"

// Values of TraceVariable. All others disable the trace.
const (
	// traceLevelEngines logs the client connections and each engine at each traceInterval.
	traceLevelEngines = "1"
	// traceLevelRequests also logs the requests that traceRequest selects. It is too verbose for production.
	traceLevelRequests = "2"
)

// traceInterval is the time between two sets of trace lines.
const traceInterval = time.Second

// engineTracer logs, at each traceInterval, the decision module's view of each engine with the counts of
// its attempts in this interval.
type engineTracer struct {
	timer timerwheel.Timer
	last  map[control.EndpointID]engineStats // as of the previous interval
}

// engineStats counts the attempts at one engine since it was added to the endpoint table.
type engineStats struct {
	attempts            uint64
	firstEvents         uint64
	totalFirstEventTime time.Duration               // sum of the times to all first events
	maxFirstEventTime   time.Duration               // longest time to a first event in this interval
	results             [control.ResultCount]uint64 // attempts ended, by control.Result
}

// startTrace starts the trace if level, the value of TraceVariable, enables it.
func (s *Server) startTrace(level string) {
	if level != traceLevelEngines && level != traceLevelRequests {
		return
	}
	s.traceRequests = level == traceLevelRequests
	tracer := &engineTracer{last: map[control.EndpointID]engineStats{}}
	s.tracing = tracer
	tracer.timer.Fire = func() {
		s.traceClients()
		s.traceEngines()
		s.loop.StartTimer(&tracer.timer, traceInterval)
	}
	s.loop.StartTimer(&tracer.timer, traceInterval)
}

// traceClients logs the current client connections and the connection counters since the server's start.
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
	maps.DeleteFunc(last, func(id control.EndpointID, _ engineStats) bool { return s.endpoints.byID[id] == nil })
	for _, id := range slices.Sorted(maps.Keys(s.endpoints.byID)) {
		engine := s.endpoints.byID[id]
		previous := last[id]
		last[id] = engine.stats
		s.traceEngine(id, engine, previous)
		engine.stats.maxFirstEventTime = 0
	}
}

// traceEngine logs the decision module's view of an engine with the counts of its attempts since previous.
func (s *Server) traceEngine(id control.EndpointID, engine *endpoint, previous engineStats) {
	view, isKnown := s.mailbox.Router.EndpointStatus(id)
	stats := &engine.stats
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
		Uint64("attempts", stats.attempts-previous.attempts).
		Uint64("first_events", stats.firstEvents-previous.firstEvents)
	firstEvents := stats.firstEvents - previous.firstEvents
	if firstEvents > 0 {
		mean := (stats.totalFirstEventTime - previous.totalFirstEventTime) / time.Duration(firstEvents)
		line = line.Dur("mean_first_event_ms", mean).Dur("max_first_event_ms", stats.maxFirstEventTime)
	}
	for result := range stats.results {
		count := stats.results[result] - previous.results[result]
		if count > 0 {
			line = line.Uint64(control.Result(result).String(), count)
		}
	}
	line.Msg("engine trace")
}
