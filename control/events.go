package control

import "time"

// Event is something that happened to a router: a Request, AnswerStarted, Outcome, ClientGone, Timer,
// HealthCheckResult, ReservationResult, EndpointUpdate or SubscriptionFailed.
type Event interface{ event() }

// Request is a client's request. It gets exactly one final answer.
type Request struct {
	ID        RequestID
	Class     int // index into Settings.Classes
	Tenant    int // index into Settings.Tenants
	SessionID uint64
	Deadline  Time // the client leaves then

	PrefixHash   uint64 // of a beginning that prompts of other sessions share; 0 for none
	PrefixTokens Tokens // length of that beginning
	PromptTokens Tokens // length of the prompt
	MaxTokens    Tokens // greatest length of the answer

	Resumed       bool // its stream broke, and the client asks for the rest
	PriorAttempts int  // made for it as part of a batch; they count towards its greatest number
	PriorResets   int  // how many of these ended with their connection
}

// AnswerStarted says that the client receives the first token of the answer. No further attempt follows.
type AnswerStarted struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  AttemptNumber
	Elapsed  time.Duration // since the attempt was forwarded
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID       RequestID
	Attempt  AttemptNumber
	Endpoint EndpointID
	Result   Result
	Elapsed  time.Duration // since the attempt was forwarded
	Final    bool          // the request ended with the attempt and needs no further answer

	CachedTokens     uint32    // prompt tokens that the engine found in its KV cache
	KVMissing        bool      // on Rejected: the engine could not fetch the KV state
	ReusedConnection bool      // lost with a connection that was idle before, which is weak evidence of a fault
	Report           []float64 // load report by EngineSettings.ReportFields; empty for none
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results.
const (
	// OK means that the request was answered.
	OK Result = iota // ok
	// PrefillDone means that the prompt was computed. The engine retains its KV state.
	PrefillDone // prefill_done
	// Failed means that the engine answered with an error. The request may have been executed.
	Failed // failed
	// Rejected means that the engine was full, or could not fetch the KV state.
	Rejected // rejected
	// TimedOut means that no answer came in time. The request may still be executed.
	TimedOut // timed_out
	// ConnectFailed means that the attempt never reached the engine.
	ConnectFailed // connect_failed
	// Reset means that the connection was lost. The request may have been executed.
	Reset // reset
	// Cancelled means ended by CancelAttempt. The request may have been executed.
	Cancelled // cancelled
	// NotSent means that the caller did not forward the attempt.
	NotSent // not_sent
)

// MayHaveExecuted reports whether an attempt with this result may have executed its request, or still may.
func (r Result) MayHaveExecuted() bool {
	return r == Failed || r == TimedOut || r == Reset || r == Cancelled
}

// ClientGone says that the client left. The request needs no further answer.
type ClientGone struct{ ID RequestID }

// Timer says that a timer expired.
type Timer struct{ Token uint64 }

// HealthCheckResult is the result of a HealthCheck.
type HealthCheckResult struct {
	Endpoint EndpointID
	Result   Result
	Elapsed  time.Duration
	Report   []float64 // load report by EngineSettings.ReportFields; empty for none
}

// ReservationResult is the result of a reservation of a decode slot. This module makes none and ignores it.
type ReservationResult struct {
	ID       RequestID
	Attempt  AttemptNumber
	Endpoint EndpointID
	Held     bool
}

// EndpointUpdate brings changes of the endpoint list, or all of it.
type EndpointUpdate struct {
	Endpoints []Endpoint
	Full      bool // engines that are not listed are gone
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Kind      int     // index into EngineSettings.Kinds
	Cell      uint16  // engines of one cell have the fastest links between them
	Zone      uint16  // of the cell
	Weight    float64 // capacity, compared with other engines of its role
	StartedAt Time    // latest start; 0 for long ago
}

// EndpointState is the state of an engine by the endpoint list.
type EndpointState uint8

// The states of an engine.
const (
	// Gone engines do not exist any more.
	Gone EndpointState = iota // gone
	// Ready engines take requests.
	Ready // ready
	// Draining engines complete their requests and take no others.
	Draining // draining
)

// SubscriptionFailed says that SubscribeEndpoints failed or that its stream ended.
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
