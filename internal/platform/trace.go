package platform

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"martenlock/control"
	"martenlock/internal/timerwheel"
)

// TraceVariable switches the trace on where it is "1"; "2" also gives a line for each request
// that took more than one attempt at a stage, failed, or was late: for a short look, not for
// service.
const TraceVariable = "MARTENLOCK_TRACE"

// traceInterval is the time from one set of trace lines to the next; counts in them are of this
// time.
const traceInterval = time.Second

// engineTracer logs at each interval, for each engine, the decision module's view of it beside
// what has passed on its sockets. It is off unless the environment asks for it
// (docs/platform.md).
type engineTracer struct {
	timer timerwheel.Timer
	last  map[control.EndpointID]engineTraffic // as of the lines before
}

// engineTraffic counts what has passed on the sockets of one engine since the router started.
type engineTraffic struct {
	attempts       uint64
	firstEvents    uint64
	firstEventWait time.Duration               // sum over all first events
	longestWait    time.Duration               // of a first event since the latest trace lines
	results        [control.NotSent + 1]uint64 // of attempts, by control.Result
}

// startTrace switches the trace on.
func (s *Server) startTrace() {
	tracer := &engineTracer{last: map[control.EndpointID]engineTraffic{}}
	s.tracing = tracer
	tracer.timer.Fire = func() {
		s.traceClients()
		s.traceEngines()
		s.loop.StartTimer(&tracer.timer, traceInterval)
	}
	s.loop.StartTimer(&tracer.timer, traceInterval)
}

// traceClients logs the state of the clients' side, and counters since the start.
func (s *Server) traceClients() {
	s.log.Info().
		Int("client_sockets", s.clients.listener.Open()).
		Int("client_connections", len(s.clients.conns)).
		Int("active_requests", len(s.exchanges.byID)).
		Int("engine_connections", s.endpoints.connBudget.Open()).
		Int("buffered_bytes", s.bufferedBytes).
		Uint64("idle_connections_evicted", s.counters.idleConnsEvicted).
		Uint64("connections_rejected", s.counters.connsRejected).
		Uint64("uploads_evicted", s.counters.uploadsEvicted).
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

// traceEngine logs the decision module's view of an engine beside its traffic since the previous
// line.
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

// smoothAttempts is how many attempts a request needs that nothing goes wrong with: one at
// prefill, one at decode.
const smoothAttempts = 2

// traceRequest logs how a request went where it did not go smoothly.
func (x *exchange) traceRequest(outcome string) {
	if !x.server.traceRequests {
		return
	}
	request := &x.meta.request
	class := &x.server.config.Settings.Control.Classes[request.Class]
	isInTime := x.timeToFirstEvent <= class.FirstTokenObjective(request.PromptTokens)
	if outcome == "served" && x.attemptCount <= smoothAttempts && isInTime {
		return
	}
	x.server.log.Info().
		Str("call_id", x.meta.callID).
		Int("class", request.Class).
		Str("outcome", outcome).
		Int("attempts", x.attemptCount).
		Float64("prompt_tokens", float64(request.PromptTokens)).
		Dur("ttft_ms", x.timeToFirstEvent).
		Dur("duration_ms", x.server.loop.Now()-x.startedAt).
		Str("attempt_history", x.attemptHistory).
		Msg("request trace")
}
