package control

import "time"

// Settings configures a Router. They stay the same for its lifetime.
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
	Seed    uint64 // of the router's random numbers; each start should have its own
	Routers int    // of the service, this one included
	Rank    int    // of this router among them, from 0
	Zone    uint16 // of this router
}

// EngineSettings describes the engines of a service.
type EngineSettings struct {
	Kinds            []EngineKind  // by Endpoint.Kind
	ReportFields     []ReportField // the values of a load report, in order
	DecodeCanPrefill bool          // a decode engine computes a prompt that comes without a KV state
}

// EngineKind describes engines of one model and machine.
type EngineKind struct {
	Role         Role
	MemoryTokens Tokens // KV memory of one engine; 0 for unknown
}

// Capabilities says what the caller does with actions.
type Capabilities struct {
	CanHealthCheck bool // carries out HealthCheck
	CanCancel      bool // carries out CancelAttempt
	MustSubscribe  bool // sends the endpoint list only after SubscribeEndpoints

	// ReleaseSparesAttempts is set if ReleaseKV leaves a KV state to an attempt that has reached its engine
	// and waits for the state. A release may then be asked for while an attempt is in flight.
	ReleaseSparesAttempts bool
}

// Limits bounds attempts, and how long engines and clients wait.
type Limits struct {
	MaxAttempts      int           // of one request
	MaxRetryAfter    time.Duration // longest delay that a rejected client honours; 0 if clients honour none
	ConnectTimeout   time.Duration // of one connection to an engine
	KVRetentionLimit time.Duration // within which a retained KV state has to be used or released; 0 for none
	DrainGrace       time.Duration // for which a draining engine may still get attempts
	AnswerGrace      time.Duration // for which a final answer may come after the client's deadline
}

// SlowStart describes how an engine that has just started behaves.
type SlowStart struct {
	InitialShare     float64       // of its usual capacity, right after the start
	Duration         time.Duration // until it is warmed up
	OverloadMultiple float64       // of the initial capacity; an engine that is sent this much
	OverloadDuration time.Duration // for this long breaks down
}

// Role is the stage of a request that an engine computes.
type Role uint8

// The roles of engines.
const (
	// RolePrefill computes KV states of prompts.
	RolePrefill Role = iota // prefill
	// RoleDecode streams answers from KV states.
	RoleDecode // decode
	// RoleColocated computes both stages.
	RoleColocated // colocated
)

// Class describes one class of requests.
type Class struct {
	TTFTObjective     time.Duration // for the time to first token
	TTFTPer1000Tokens time.Duration // added to it for each 1,000 tokens of the prompt
	Deadline          time.Duration // over all attempts; the client leaves then
	ITLObjective      time.Duration // for the mean latency between tokens

	PriorityWeight  float64 // value of an answer, compared with other classes
	LateWeightShare float64 // share of that weight for an answer that misses its objective, from 0 to 1

	Idempotency Idempotency
	DedupScope  DedupScope    // for IdempotentWithKey
	DedupWindow time.Duration // for IdempotentWithKey: how long engines drop repeats

	MaxAttempts int // of one request, if lower than Limits.MaxAttempts; 0 for that
}

// FirstTokenObjective returns the objective for the time to first token of a request with a prompt of this
// length.
func (c *Class) FirstTokenObjective(prompt Tokens) time.Duration {
	return c.TTFTObjective + time.Duration(float64(c.TTFTPer1000Tokens)*float64(prompt)/1000)
}

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	// Idempotent requests may be repeated without limit.
	Idempotent Idempotency = iota // idempotent
	// IdempotentWithKey requests have a key by which the engines of a DedupScope drop repeats.
	IdempotentWithKey // idempotent_with_key
	// NotIdempotent requests must never be executed twice.
	NotIdempotent // not_idempotent
)

// DedupScope is the group of engines that drops repeats of a request with a key.
type DedupScope uint8

// The scopes of deduplication, around the engine that was first to execute the request.
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
	RateLimit float64 // requests a second, at all routers together
	Share     float64 // of the service, from 0 to 1
}

// ReportField is the meaning of one value of a load report.
type ReportField uint8

// The fields of load reports.
const (
	ReportOther       ReportField = iota // not used
	ReportInFlight                       // requests at the engine
	ReportQueued                         // requests that wait at the engine
	ReportUtilization                    // share of slots in use, from 0 to 1
	ReportMemory                         // share of KV memory in use, from 0 to 1
	ReportBacklog                        // thousands of prompt tokens to compute or to fetch
)
