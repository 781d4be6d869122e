package invariant

import "time"

//go:generate go tool stringer -linecomment -type=Kind,Effect,Result -output=enum_string.go

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. Clients record the first four, the owner of the endpoint list records DrainAnnounced and
// ReadyAnnounced, and engines record the others. Each comment lists the fields of Event that are set besides At and Kind.
const (
	// RequestSent: a client sent a request (Request, Effect, DedupWindow, Deadline).
	RequestSent Kind = iota // request sent
	// FirstToken: the first token of a stream or a complete answer arrived. The deadline applies to it (Request).
	FirstToken // first token
	// FinalAnswer: a final answer arrived (Request, Result).
	FinalAnswer // final answer
	// ClientLeft: the client closed its connection before a final answer (Request).
	ClientLeft // client left
	// AttemptBegan: an attempt arrived at an engine (Request, Engine, Work).
	AttemptBegan // attempt began
	// Executed: an attempt passed the point from which its request counts as executed (Request, Engine).
	Executed // executed
	// AttemptEnded: an attempt ended, with any result (Request, Engine).
	AttemptEnded // attempt ended
	// KVRetained: an engine retains KV state for a decode engine (Request, Engine).
	KVRetained // KV state retained
	// KVReleased: an engine discarded retained KV state that was fetched, released or expired (Request, Engine).
	KVReleased // KV state released
	// DrainAnnounced: the endpoint list shows an engine as draining or gone (Engine).
	DrainAnnounced // drain announced
	// ReadyAnnounced: the endpoint list shows an engine as ready (Engine).
	ReadyAnnounced // ready announced
	// EngineStarted: an engine's process started, in slow start (Engine).
	EngineStarted // engine started
	// EngineDied: an engine's process exited, which ended its attempts and lost its KV states (Engine).
	EngineDied // engine died
	// EngineHung: an engine stopped reading from its sockets (Engine).
	EngineHung // engine hung
	// EngineResumed: an engine reads from its sockets again (Engine).
	EngineResumed // engine resumed
)

// Effect says whether a request may be executed more than once, as its client declared.
type Effect uint8

const (
	// Idempotent requests may be executed any number of times.
	Idempotent Effect = iota // idempotent
	// IdempotentWithKey requests may be executed again only within DedupWindow of their first execution, while engines
	// deduplicate them.
	IdempotentWithKey // idempotent with key
	// NotIdempotent requests may be executed at most once.
	NotIdempotent // not idempotent
)

// Result is the kind of a final answer.
type Result uint8

const (
	// Served is a complete answer.
	Served Result = iota // served
	// Rejected is an error with Retry-After, which promises that the request was not executed.
	Rejected // rejected
	// Failed is an error after which the request may or may not have been executed.
	Failed // failed
	// Malformed is any other answer, such as a rejection without Retry-After, a truncated body without an error, or data
	// after the end of a stream.
	Malformed // malformed

	resultCount = iota
)

// ShardSeparator separates the id of a request from the number of a shard. Since the shards of a request run
// concurrently, each is checked like a request of its own, with the Effect of the request.
const ShardSeparator = "#"

// Event is one observation. Kind determines which of the other fields are set.
type Event struct {
	At          time.Duration // time on a clock that all observers share
	Kind        Kind
	Request     string
	Engine      string
	Effect      Effect
	Result      Result
	Deadline    time.Duration // time on the same clock as At
	DedupWindow time.Duration // time after the first execution during which engines deduplicate the request
	Work        float64       // time that the engine needs at full speed, in seconds
}
