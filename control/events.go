package control

import "time"

// Event is an input of Router.Handle: a Request, AnswerStarted, Outcome, ClientGone, Timer,
// HealthCheckResult, ReservationResult, EndpointUpdate or SubscriptionFailed.
type Event interface{ event() }

// Request is a new request of a client. Unless the client leaves first, it gets exactly one final answer: an
// answer from an engine, Reject or Fail.
type Request struct {
	ID        RequestID
	Class     int    // index into Settings.Classes
	Tenant    int    // index into Settings.Tenants
	SessionID uint64 // 0 for no session
	Deadline  Time   // the client leaves then

	PrefixHash   uint64 // hash of a prompt prefix shared with other sessions; 0 for none
	PrefixTokens Tokens // length of that prefix
	PromptTokens Tokens // length of the prompt, including the prefix
	MaxTokens    Tokens // maximum length of the answer

	Resumed              bool // continues an answer whose stream broke; the client already has the first token
	PriorAttempts        int  // attempts made earlier as part of a batch; they count towards the maximum
	PriorLostConnections int  // prior attempts with Result Reset
}

// AnswerStarted reports that the answer's first token is sent to the client. The Outcome of the attempt must
// then be Final, since a further attempt would repeat the beginning of the answer.
type AnswerStarted struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  AttemptNumber
	Elapsed  time.Duration // since the attempt was forwarded
}

// Outcome reports the end of an attempt.
type Outcome struct {
	ID       RequestID
	Attempt  AttemptNumber
	Endpoint EndpointID
	Result   Result
	Elapsed  time.Duration // since the attempt was forwarded
	Final    bool          // the request ended with the attempt and needs no final answer from the router

	CachedTokens     uint32    // prompt tokens that the engine found in its KV cache
	KVMissing        bool      // only for Rejected: the engine could not fetch the KV state
	ReusedConnection bool      // the connection had been idle before, so its loss is weak evidence of a fault
	Report           []float64 // load report in the order of EngineSettings.ReportFields; empty for none
}

// Result is the result of an attempt or a health check.
type Result uint8

const (
	// OK means that the request was answered.
	OK Result = iota // ok
	// PrefillDone means that the prompt was computed. The engine retains its KV state.
	PrefillDone // prefill_done
	// Failed means that the engine answered with an error. The request may have been executed.
	Failed // failed
	// Rejected means that the engine was full, or could not fetch the KV state.
	Rejected // rejected
	// TimedOut means that no response arrived in time. The request may still be executed.
	TimedOut // timed_out
	// ConnectFailed means that the attempt never reached the engine.
	ConnectFailed // connect_failed
	// Reset means that the connection was lost. The request may have been executed.
	Reset // reset
	// Cancelled means that CancelAttempt ended the attempt. The request may have been executed.
	Cancelled // cancelled
	// NotSent means that the caller did not forward the attempt.
	NotSent // not_sent
	// ResponseDropped means that the engine answered with success, but the caller had no memory for the
	// response. The request was executed.
	ResponseDropped // response_dropped
)

// ResultCount is the number of results.
const ResultCount = int(ResponseDropped) + 1

// MayHaveExecuted reports whether the engine may have executed the request, or may still execute it, although
// the attempt did not succeed.
func (r Result) MayHaveExecuted() bool {
	return r == Failed || r == TimedOut || r == Reset || r == Cancelled || r == ResponseDropped
}

// ClientGone reports that the client left. The request needs no final answer.
type ClientGone struct{ ID RequestID }

// Timer reports that the timer of the SetTimer with the same Token has expired.
type Timer struct{ Token uint64 }

// HealthCheckResult reports the end of a HealthCheck. Only TimedOut, ConnectFailed and Reset count as
// failures.
type HealthCheckResult struct {
	Endpoint EndpointID
	Result   Result
	Elapsed  time.Duration
	Report   []float64 // load report in the order of EngineSettings.ReportFields; empty for none
}

// ReservationResult is the result of a reservation of a decode slot. The router reserves no slots and ignores
// this event.
type ReservationResult struct {
	ID       RequestID
	Attempt  AttemptNumber
	Endpoint EndpointID
	Held     bool
}

// EndpointUpdate contains changed entries of the endpoint list, or the full list.
type EndpointUpdate struct {
	Endpoints []Endpoint
	Full      bool // endpoints that are missing from Endpoints are gone
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Kind      int     // index into EngineSettings.Kinds
	Cell      uint16  // engines of one cell have the fastest network links between them
	Zone      uint16  // zone of the cell
	Weight    float64 // capacity relative to other engines of its role
	StartedAt Time    // latest start of the engine; 0 for long ago
}

// EndpointState is the state of an engine in the endpoint list.
type EndpointState uint8

const (
	// Gone engines no longer exist.
	Gone EndpointState = iota // gone
	// Ready engines accept requests.
	Ready // ready
	// Draining engines complete their requests and, after Limits.DrainGrace, accept no new ones.
	Draining // draining
)

// SubscriptionFailed reports that SubscribeEndpoints failed or that its stream ended.
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
