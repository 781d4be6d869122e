package control

import "time"

// Settings configures a Router. The Router keeps them, so the caller must not change them after New.
type Settings struct {
	Identity  RouterIdentity
	Classes   []Class
	Tenants   []Tenant
	Engines   EngineSettings
	Caller    Capabilities
	Limits    Limits
	SlowStart SlowStart
}

// RouterIdentity describes a router among those of its service.
type RouterIdentity struct {
	Seed    uint64 // seed of the random numbers; should differ for each router and each start
	Routers int    // number of routers of the service, including this one; 0 counts as 1
	Rank    int    // index of this router among them, from 0
	Zone    uint16 // zone of this router
}

// EngineSettings describes the engines of a service.
type EngineSettings struct {
	Kinds            []EngineKind  // indexed by Endpoint.Kind
	ReportFields     []ReportField // meanings of the values of a load report, in order
	DecodeCanPrefill bool          // a decode engine can also compute a prompt, if there is no KV state to fetch
}

// EngineKind describes the engines of one kind, which have the same role and memory.
type EngineKind struct {
	Role         Role
	MemoryTokens Tokens // KV memory of one engine; 0 for unknown
}

// Capabilities describes which actions the caller supports.
type Capabilities struct {
	CanHealthCheck bool // supports HealthCheck
	CanCancel      bool // supports CancelAttempt
	MustSubscribe  bool // sends the endpoint list only after SubscribeEndpoints

	// ReleaseSparesAttempts is set if ReleaseKV does not take a KV state from an attempt that has reached its
	// engine and waits for the state. Without it, ReleaseKV is not emitted while an attempt of an unfinished
	// request is in flight.
	ReleaseSparesAttempts bool
}

// Limits bounds the number of attempts and the time that engines and clients wait.
type Limits struct {
	MaxAttempts      int           // of one request; 0 counts as 1
	MaxRetryAfter    time.Duration // upper bound of Reject.RetryAfter; 0 if clients ignore Retry-After
	ConnectTimeout   time.Duration // for one connection to an engine
	KVRetentionLimit time.Duration // time within which a KV state must be used or released; 0 for none
	DrainGrace       time.Duration // time for which a draining engine may still get attempts
	AnswerGrace      time.Duration // time after the deadline within which a final answer may still arrive
}

// SlowStart describes the capacity of an engine that has just started. An engine fails if its traffic exceeds
// OverloadMultiple times its initial capacity for OverloadDuration.
type SlowStart struct {
	InitialShare     float64       // initial capacity as a fraction of the full capacity
	Duration         time.Duration // time from the start until the engine has its full capacity
	OverloadMultiple float64
	OverloadDuration time.Duration
}

// Role is the stage, or stages, of a request that an engine computes.
type Role uint8

const (
	// RolePrefill computes KV states of prompts.
	RolePrefill Role = iota // prefill
	// RoleDecode streams answers from KV states.
	RoleDecode // decode
	// RoleColocated computes prefill and decode on one engine.
	RoleColocated // colocated
)

// Class holds the objectives, the deadline and the idempotency of one class of requests.
type Class struct {
	TTFTObjective     time.Duration // time to first token for an empty prompt
	TTFTPer1000Tokens time.Duration // added to TTFTObjective for each 1,000 tokens of the prompt
	Deadline          time.Duration // from arrival, over all attempts; the client leaves then
	ITLObjective      time.Duration // mean inter-token latency

	PriorityWeight  float64 // value of an answer, relative to other classes
	LateWeightShare float64 // fraction of PriorityWeight for an answer that misses its objective, from 0 to 1

	Idempotency Idempotency
	DedupScope  DedupScope    // only for IdempotentWithKey
	DedupWindow time.Duration // only for IdempotentWithKey: how long engines drop repeats of a request

	MaxAttempts int // of one request, if lower than Limits.MaxAttempts; 0 for Limits.MaxAttempts
}

// FirstTokenObjective returns the objective for the time to first token of a request with this prompt length.
func (c *Class) FirstTokenObjective(prompt Tokens) time.Duration {
	return c.TTFTObjective + time.Duration(float64(c.TTFTPer1000Tokens)*float64(prompt)/1000)
}

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

const (
	// Idempotent requests may be repeated without limit.
	Idempotent Idempotency = iota // idempotent
	// IdempotentWithKey requests carry a key by which the engines of a DedupScope drop repeats.
	IdempotentWithKey // idempotent_with_key
	// NotIdempotent requests must never be executed twice.
	NotIdempotent // not_idempotent
)

// DedupScope is the group of engines that drop repeats of a request with a key.
type DedupScope uint8

// The scopes of deduplication. They are relative to the engine that first executed the request.
const (
	// DedupScopeAll is all engines.
	DedupScopeAll DedupScope = iota // all
	// DedupScopeZone is the engines of its zone.
	DedupScopeZone // zone
	// DedupScopeCell is the engines of its cell.
	DedupScopeCell // cell
)

// Tenant is one customer of the service.
type Tenant struct {
	RateLimit float64 // requests per second, over all routers
	Share     float64 // share of the service, from 0 to 1
}

// ReportField is the meaning of one value of a load report.
type ReportField uint8

// The fields of load reports.
const (
	ReportOther       ReportField = iota // a value that the router ignores
	ReportInFlight                       // number of requests at the engine
	ReportQueued                         // number of requests in the engine's queue
	ReportUtilization                    // fraction of slots in use, from 0 to 1
	ReportMemory                         // fraction of KV memory in use, from 0 to 1
	ReportBacklog                        // thousands of prompt tokens to compute or to fetch
)
