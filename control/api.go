// Package control decides, for one router, how a service of language models with prefill and decode on
// separate engines takes requests: when each request is released from the queue, which prefill engine
// computes the KV cache state of its prompt, which decode engine streams its answer, and what follows when
// an attempt fails.
//
// The package does no I/O and reads no clock. A caller hands events and the present time to Router.Handle
// and carries out the actions that come back. It is deterministic: the same settings and events give the
// same actions.
package control

import (
	"fmt"
	"time"
)

// Time is a point on the caller's clock, in microseconds from any origin.
type Time uint64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return Time(int64(t) + d.Microseconds()) }

// Sub returns the span from u to t; it is negative where u is later.
func (t Time) Sub(u Time) time.Duration { return time.Duration(int64(t)-int64(u)) * time.Microsecond }

// RequestID names one request at this router; ids are never used twice.
type RequestID uint32

// EndpointID names one engine. It stays the same over restarts.
type EndpointID uint64

// Role says which of the two stages of a request an engine takes.
type Role uint8

// The roles of engines.
const (
	RolePrefill   Role = iota // computes KV states of prompts
	RoleDecode                // streams answers from KV states
	RoleColocated             // does both
)

var roleNames = [...]string{"prefill", "decode", "colocated"}

// String names a role.
func (r Role) String() string { return enumName(roleNames[:], "role", uint8(r)) }

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // the engines of one DedupScope drop repeats for a while
	NotIdempotent                        // must never be executed twice
)

var idempotencyNames = [...]string{"idempotent", "idempotent_with_key", "not_idempotent"}

// String names what a repeat may do.
func (i Idempotency) String() string { return enumName(idempotencyNames[:], "idempotency", uint8(i)) }

// DedupScope is the group of engines that drops the repeats of a request with a key.
type DedupScope uint8

// The scopes of deduplication, around the engine that was first to execute the request.
const (
	DedupScopeAll  DedupScope = iota // all engines
	DedupScopeZone                   // those of its zone
	DedupScopeCell                   // those of its cell
)

var dedupScopeNames = [...]string{"all", "zone", "cell"}

// String names a scope.
func (s DedupScope) String() string { return enumName(dedupScopeNames[:], "dedup_scope", uint8(s)) }

// enumName is the name of a value, or its kind and number where it has none.
func enumName(names []string, kind string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", kind, value)
}

// Class is one class of requests.
type Class struct {
	TTFTObjective     time.Duration // for the time to first token
	TTFTPer1000Tokens time.Duration // added to it for each 1,000 tokens of the prompt
	Deadline          time.Duration // the client leaves after this, over all attempts
	ITLObjective      time.Duration // for the mean latency between tokens

	PriorityWeight  float64 // what an answer is worth, compared with other classes
	LateWeightShare float64 // share of that weight for an answer that misses its objective, from 0 to 1

	Idempotency Idempotency
	DedupScope  DedupScope    // for IdempotentWithKey
	DedupWindow time.Duration // for IdempotentWithKey: how long repeats are dropped

	MaxAttempts int // of one request, where lower than Settings.MaxAttempts; 0 for that
}

// Tenant is one customer of the service.
type Tenant struct {
	RateLimit float64 // requests a second, at all routers together
	Share     float64 // of the service, from 0 to 1
}

// ReportField is the meaning of one value of a load report.
type ReportField uint8

// The fields of load reports that the module knows.
const (
	ReportOther       ReportField = iota // of no use here
	ReportInFlight                       // requests at the engine
	ReportQueued                         // requests that wait at the engine
	ReportUtilization                    // share of slots in use, from 0 to 1
	ReportMemory                         // share of KV memory in use, from 0 to 1
	ReportBacklog                        // thousands of prompt tokens to compute or to fetch
)

// Settings is what a router is told once, at its start.
type Settings struct {
	Seed    uint64 // of the router's random numbers; each start should have its own
	Routers int    // of the service, this one included
	Rank    int    // number of this router among them, from 0
	Zone    uint16 // of this router
	Classes []Class
	Tenants []Tenant

	RoleByKind         []Role        // by Endpoint.Kind
	MemoryTokensByKind []float64     // KV memory in tokens, by Endpoint.Kind; 0 for unknown
	ReportFields       []ReportField // the values of a load report, in order

	CanHealthCheck   bool // HealthCheck is carried out
	CanCancel        bool // CancelAttempt is carried out
	MustSubscribe    bool // the endpoint list has to be asked for, with SubscribeEndpoints
	DecodeCanPrefill bool // a decode engine computes a prompt that comes without a KV state
	// ReleaseSparesAttempts tells that ReleaseKV leaves a KV state to an attempt that has reached its engine
	// and waits for it: it may be asked for while an attempt is in flight.
	ReleaseSparesAttempts bool

	MaxAttempts      int           // of one request
	MaxRetryAfter    time.Duration // longest delay that a rejected client honours; 0 for clients that honour none
	ConnectTimeout   time.Duration // of one connection to an engine
	KVRetentionLimit time.Duration // a retained KV state has to be used or released within this; 0 for no limit
	DrainGrace       time.Duration // what was sent to an engine within this of its draining is no breach
	AnswerGrace      time.Duration // a final answer may come so long after the client's deadline

	SlowStartShare    float64       // an engine that has just started has this share of its capacity
	SlowStartDuration time.Duration // and is warmed up after this
	OverloadMultiple  float64       // sent so many times that capacity
	OverloadDuration  time.Duration // for so long, it breaks down
}

// Event is something that has happened to a router: Request, AnswerStarted, Outcome, ClientGone, Timer,
// HealthCheckResult, ReservationResult, EndpointUpdate or SubscriptionFailed.
type Event interface{ event() }

// Request is a client's request; exactly one final answer is owed for it.
type Request struct {
	ID        RequestID
	Class     int // index into Settings.Classes
	Tenant    int // index into Settings.Tenants
	SessionID uint64
	Deadline  Time // the client leaves then

	PrefixHash   uint64  // of a beginning that prompts of other sessions share; 0 for none
	PrefixTokens float64 // length of that beginning
	PromptTokens float64 // length of the prompt
	MaxTokens    float64 // greatest length of the answer

	Resumed       bool // its stream broke, and the client comes for the rest
	PriorAttempts int  // that it had as part of a batch; they count towards its greatest number
	PriorResets   int  // how many of them ended with their connection
}

// AnswerStarted tells that the client gets the first token of its answer: the attempt is its own from now on.
type AnswerStarted struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  Attempt
	Elapsed  time.Duration // since the attempt was forwarded
}

// Attempt numbers the attempts of a request, from 0.
type Attempt = int

// Result is how an attempt or a health check ended.
type Result uint8

// The results.
const (
	OK            Result = iota // answered
	PrefillDone                 // the prompt is computed; its KV state is retained at the engine
	Failed                      // the engine answered with an error; the request may have been executed
	Rejected                    // the engine is full, or could not fetch the KV state
	TimedOut                    // no answer in time; the request may be executed yet
	ConnectFailed               // never got through to the engine
	Reset                       // the connection was lost; the request may have been executed
	Cancelled                   // by CancelAttempt; the request may have been executed
	NotSent                     // the caller did not forward it
)

var resultNames = [...]string{
	"ok", "prefill_done", "failed", "rejected", "timed_out", "connect_failed", "reset", "cancelled", "not_sent",
}

// String names a result.
func (r Result) String() string { return enumName(resultNames[:], "result", uint8(r)) }

// MayHaveExecuted tells whether an attempt that ended so may have had the effect of its request, or may yet.
func (r Result) MayHaveExecuted() bool {
	return r == Failed || r == TimedOut || r == Reset || r == Cancelled
}

// Outcome tells that an attempt has ended.
type Outcome struct {
	ID       RequestID
	Attempt  Attempt
	Endpoint EndpointID
	Result   Result
	Elapsed  time.Duration // since the attempt was forwarded
	Final    bool          // the request has ended with it: no answer is owed any more

	CachedTokens     uint32    // prompt tokens that the engine found in its KV cache
	KVMissing        bool      // on Rejected: the engine could not fetch the KV state
	ReusedConnection bool      // lost with a connection that was idle before: that says little of the engine
	Report           []float64 // load report by Settings.ReportFields; empty for none
}

// ClientGone tells that the client has left; no answer is owed any more.
type ClientGone struct{ ID RequestID }

// Timer tells that a timer has run out.
type Timer struct{ Token uint64 }

// HealthCheckResult answers a HealthCheck.
type HealthCheckResult struct {
	Endpoint EndpointID
	Result   Result
	Elapsed  time.Duration
	Report   []float64 // load report by Settings.ReportFields; empty for none
}

// ReservationResult answers a reservation of a decode slot; this module makes none.
type ReservationResult struct {
	ID       RequestID
	Attempt  Attempt
	Endpoint EndpointID
	Held     bool
}

// EndpointState is what the endpoint list says of an engine.
type EndpointState uint8

// The states of an engine.
const (
	Gone     EndpointState = iota // not there
	Ready                         // takes requests
	Draining                      // ends what it has and takes nothing more
)

var endpointStateNames = [...]string{"gone", "ready", "draining"}

// String names a state.
func (s EndpointState) String() string {
	return enumName(endpointStateNames[:], "endpoint_state", uint8(s))
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Kind      int     // of engine; index into Settings.RoleByKind
	Cell      uint16  // engines of one cell are connected best
	Zone      uint16  // of the cell
	Weight    float64 // capacity, compared with other engines of its role
	StartedAt Time    // latest start; 0 for long ago
}

// EndpointUpdate brings changes of the endpoint list, or all of it.
type EndpointUpdate struct {
	Endpoints []Endpoint
	Full      bool // an engine that is not listed is gone
}

// SubscriptionFailed tells that SubscribeEndpoints failed or that its stream has ended.
type SubscriptionFailed struct{}

func (Request) event()            {}
func (AnswerStarted) event()      {}
func (Outcome) event()            {}
func (ClientGone) event()         {}
func (Timer) event()              {}
func (HealthCheckResult) event()  {}
func (ReservationResult) event()  {}
func (EndpointUpdate) event()     {}
func (SubscriptionFailed) event() {}

// Action is something that a router wants done: Forward, Reject, Fail, ReleaseKV, CancelAttempt, SetTimer,
// HealthCheck, SubscribeEndpoints or Log.
type Action interface{ action() }

// Forward starts the next attempt of a request. A decode engine fetches the KV state that the request's
// latest prefill left.
type Forward struct {
	ID         RequestID
	Endpoint   EndpointID
	Timeout    time.Duration // without a prefill done or an answer begun, the attempt is TimedOut
	SendWithin time.Duration // what has not been sent in full by then is ConnectFailed; 0 for Timeout alone
}

// Reject is the final answer to a request that may safely be repeated by its client.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 for no advice
	Reason     FinishReason
}

// Fail is the final answer to a request that may have been executed, or that should not come again.
type Fail struct {
	ID     RequestID
	Reason FinishReason
}

// FinishReason says why a request gets its final answer without service.
type FinishReason uint8

// The reasons of a final answer without service.
const (
	FinishUnspecified          FinishReason = iota
	FinishedMissingObjective                // it can't have its first token in time
	FinishedAtDeadline                      // no time is left for a further attempt
	FinishedOutOfAttempts                   // it has had as many as it may have
	FinishedNotRepeatable                   // an attempt may have been executed, and its class forbids a repeat
	FinishedWithPrefillFull                 // the prefill engines reject many requests
	FinishedWithoutEndpoint                 // no endpoint can take its next attempt
	FinishedForLostConnections              // every engine that got it lost its connection
)

var finishReasonNames = [...]string{
	"unspecified", "misses_objective", "deadline", "out_of_attempts", "not_repeatable", "prefill_full",
	"no_endpoint", "lost_connections",
}

// String names a reason.
func (r FinishReason) String() string {
	return enumName(finishReasonNames[:], "finish_reason", uint8(r))
}

// ReleaseKV releases every KV state that engines may retain for a request and that none of its attempts
// waits for. A Forward to a prefill engine that comes after it is sent when the release is done: it would take the
// new state too.
type ReleaseKV struct {
	ID     RequestID
	Reason ReleaseReason
}

// ReleaseReason says why a KV state is released.
type ReleaseReason uint8

// The reasons of a release.
const (
	ReleaseUnspecified     ReleaseReason = iota
	ReleasedAtFinish                     // the request has ended, and its answer had not begun
	ReleasedForLateOutcome               // an attempt ended after its request
	ReleasedAsKVMissing                  // a decode engine could not fetch the KV state
	ReleasedWithoutProof                 // nothing proves that the attempt for it has reached its engine
	ReleasedBeforeRetry                  // an earlier prefill may have left it, and the prompt is computed again
)

var releaseReasonNames = [...]string{"unspecified", "request_finished", "late_outcome", "kv_missing", "arrival_not_proven", "before_retry"}

// String names a reason.
func (r ReleaseReason) String() string {
	return enumName(releaseReasonNames[:], "release_reason", uint8(r))
}

// CancelAttempt ends an attempt before its answer; its Outcome follows.
type CancelAttempt struct {
	ID      RequestID
	Attempt Attempt
}

// SetTimer asks for a Timer event after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// HealthCheck asks an engine whether it is alive, and for a load report; a HealthCheckResult follows.
type HealthCheck struct{ Endpoint EndpointID }

// SubscribeEndpoints asks for the endpoint list and its changes.
type SubscribeEndpoints struct{}

// Log is something that operators should know; the caller words it.
type Log struct {
	Kind     LogKind
	Endpoint EndpointID
	Reason   EjectionReason
}

// LogKind says what a Log is about.
type LogKind uint8

// The kinds of Log.
const (
	EndpointEjected LogKind = iota // the endpoint gets nothing but single attempts on probation
)

var logKindNames = [...]string{"endpoint ejected"}

// String is the message of a log line.
func (k LogKind) String() string { return enumName(logKindNames[:], "log_kind", uint8(k)) }

// EjectionReason says why an endpoint was ejected.
type EjectionReason uint8

// The reasons of an ejection.
const (
	EjectedForErrors      EjectionReason = iota // it failed too many attempts
	EjectedForTimeouts                          // too many attempts timed out
	EjectedAsUnreachable                        // connections failed or were lost
	EjectedAsSlow                               // it is far slower than others of its role
	EjectedAsUnresponsive                       // no progress on an attempt for too long
	EjectedForHealthCheck                       // a health check was not answered
)

var ejectionReasonNames = [...]string{
	"errors", "timeouts", "unreachable", "slow", "unresponsive", "health_check_failed",
}

// String names a reason.
func (r EjectionReason) String() string {
	return enumName(ejectionReasonNames[:], "ejection_reason", uint8(r))
}

func (Forward) action()            {}
func (Reject) action()             {}
func (Fail) action()               {}
func (ReleaseKV) action()          {}
func (CancelAttempt) action()      {}
func (SetTimer) action()           {}
func (HealthCheck) action()        {}
func (SubscribeEndpoints) action() {}
func (Log) action()                {}
