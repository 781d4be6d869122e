package invariant

import "time"

//go:generate go tool stringer -linecomment -type=Kind,Effect,Result -output=enum_string.go

// Kind is what was observed.
type Kind uint8

// The kinds of events. Clients observe the first four. The owner of the endpoint list observes DrainAnnounced and
// ReadyAnnounced. Engines observe the others. A comment names the fields of Event that are set besides At and Kind.
const (
	// RequestSent: a client sent a request (Request, Effect, DedupWindow, Deadline).
	RequestSent Kind = iota // request sent
	// FirstToken: the first token of a stream arrived, which meets the deadline (Request).
	FirstToken // first token
	// FinalAnswer: a final answer arrived (Request, Result).
	FinalAnswer // final answer
	// ClientLeft: the client closed its connection before a final answer (Request).
	ClientLeft // client left
	// AttemptBegan: an attempt arrived at an engine (Request, Engine, Work).
	AttemptBegan // attempt began
	// Executed: an attempt began to have its effect (Request, Engine).
	Executed // executed
	// AttemptEnded: an attempt ended, with any result (Request, Engine).
	AttemptEnded // attempt ended
	// KVRetained: an engine retains KV state for a decode engine (Request, Engine).
	KVRetained // KV state retained
	// KVReleased: that state was fetched or released (Request, Engine).
	KVReleased // KV state released
	// DrainAnnounced: the endpoint list shows an engine as draining or gone (Engine).
	DrainAnnounced // drain announced
	// ReadyAnnounced: the endpoint list shows an engine as ready (Engine).
	ReadyAnnounced // ready announced
	// EngineStarted: an engine's process started, in slow start (Engine).
	EngineStarted // engine started
	// EngineDied: an engine's process ended, and its attempts and KV states with it (Engine).
	EngineDied // engine died
	// EngineHung: an engine stopped reading from its sockets (Engine).
	EngineHung // engine hung
	// EngineResumed: an engine reads from its sockets again (Engine).
	EngineResumed // engine resumed
)

// Effect is what a second execution of a request may do, as its client declared it.
type Effect uint8

// The effects.
const (
	// Idempotent requests may be executed any number of times.
	Idempotent Effect = iota // idempotent
	// IdempotentWithKey requests are deduplicated within DedupWindow of their first execution.
	IdempotentWithKey // idempotent with key
	// NotIdempotent requests may be executed once at most.
	NotIdempotent // not idempotent
)

// Result is the kind of a final answer.
type Result uint8

// The results.
const (
	// Served is a complete answer.
	Served Result = iota // served
	// Rejected promises that nothing was executed, and says when to retry.
	Rejected // rejected
	// Failed promises nothing about execution.
	Failed // failed
	// Malformed is anything else: no Retry-After, a body cut short without an error, data after the end.
	Malformed // malformed

	resultCount = iota
)

// ShardSeparator separates a request's id from the number of one of its shards. The shards of a request run
// concurrently. Each is checked alone, by the effect that the client declared for the request.
const ShardSeparator = "#"

// Event is one observation. Kind determines which of the other fields are set.
type Event struct {
	At          time.Duration // on one clock for all observers
	Kind        Kind
	Request     string
	Engine      string
	Effect      Effect
	Result      Result
	Deadline    time.Duration // on the clock of At
	DedupWindow time.Duration // within which repeats of a request with a key are dropped
	Work        float64       // seconds of the engine's time at full speed
}
