package control

import "time"

// Action is an output of Router.Handle that the caller has to carry out: a Forward, Reject, Fail, ReleaseKV,
// CancelAttempt, SetTimer, HealthCheck, SubscribeEndpoints or Log.
type Action interface{ action() }

// Forward starts the next attempt of a request. A decode engine fetches the KV state of the request's latest
// prefill. A colocated engine either fetches it, if there is one, or computes the prompt itself.
type Forward struct {
	ID       RequestID
	Endpoint EndpointID
	// Timeout is the maximum time until the prefill is done or the answer begins. After it, the attempt ends
	// with TimedOut.
	Timeout time.Duration
	// SendWithin is the maximum time until the attempt has been sent in full. After it, the attempt ends with
	// ConnectFailed. 0 means that only Timeout applies.
	SendWithin time.Duration
}

// Reject is the final answer to a request that the client may safely repeat. The request may have been executed
// all the same: see Class.IsRepeatHarmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // time after which the client may repeat the request; 0 for none
	Reason     FinishReason
}

// Fail is the final answer to a request that may have been executed, or that the client should not repeat.
type Fail struct {
	ID     RequestID
	Reason FinishReason
}

// FinishReason is the reason for a Reject or Fail. The zero value is not a valid reason.
type FinishReason uint8

const (
	// FinishedMissingObjective means that the first token can't be produced in time.
	FinishedMissingObjective FinishReason = iota + 1 // misses_objective
	// FinishedAtDeadline means that no time is left for a further attempt.
	FinishedAtDeadline // deadline
	// FinishedOutOfAttempts means that all permitted attempts were made.
	FinishedOutOfAttempts // out_of_attempts
	// FinishedNotRepeatable means that the request may have been executed and its class forbids a repeat.
	FinishedNotRepeatable // not_repeatable
	// FinishedWithPrefillFull means that the request failed on two endpoints while prefill engines reject
	// many attempts.
	FinishedWithPrefillFull // prefill_full
	// FinishedWithoutEndpoint means that no endpoint can take the next attempt.
	FinishedWithoutEndpoint // no_endpoint
	// FinishedForLostConnections means that every permitted attempt lost its connection.
	FinishedForLostConnections // lost_connections
)

// ReleaseKV releases all KV states that engines may retain for a request. With
// Capabilities.ReleaseSparesAttempts, an engine keeps a state that an attempt waits for. A later Forward of
// the request to a prefill engine must wait until the release is confirmed, since the release would otherwise
// also take the new state.
type ReleaseKV struct {
	ID     RequestID
	Reason ReleaseReason
}

// ReleaseReason is the reason for a ReleaseKV. The zero value is not a valid reason.
type ReleaseReason uint8

const (
	// ReleasedAtFinish means that the request finished before its answer began.
	ReleasedAtFinish ReleaseReason = iota + 1 // request_finished
	// ReleasedForLateOutcome means that an Outcome did not match any attempt in flight.
	ReleasedForLateOutcome // late_outcome
	// ReleasedAsKVMissing means that a decode engine could not fetch the KV state.
	ReleasedAsKVMissing // kv_missing
	// ReleasedWithoutProof means that the KV state nears its retention limit without proof that the request's
	// latest attempt has reached its engine.
	ReleasedWithoutProof // arrival_not_proven
	// ReleasedBeforeRetry means that the prompt is about to be computed again, and an earlier prefill may
	// have left a KV state.
	ReleasedBeforeRetry // before_retry
)

// CancelAttempt ends an attempt whose answer has not begun. Its Outcome follows.
type CancelAttempt struct {
	ID      RequestID
	Attempt AttemptNumber
}

// SetTimer requests a Timer event with this Token after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// HealthCheck requests a health check of an engine, with its load report. A HealthCheckResult follows.
type HealthCheck struct{ Endpoint EndpointID }

// SubscribeEndpoints subscribes to the endpoint list and its changes.
type SubscribeEndpoints struct{}

// Log is a log entry for operators.
type Log struct {
	Kind     LogKind
	Endpoint EndpointID
	Reason   EjectionReason
}

// LogKind is the message of a Log.
type LogKind uint8

const (
	// EndpointEjected means that the endpoint gets only single attempts on probation.
	EndpointEjected LogKind = iota // endpoint ejected
)

// EjectionReason is the reason why an endpoint was ejected.
type EjectionReason uint8

const (
	// EjectedForErrors means that the engine answered too many attempts with an error.
	EjectedForErrors EjectionReason = iota // errors
	// EjectedForTimeouts means that too many attempts timed out.
	EjectedForTimeouts // timeouts
	// EjectedAsUnreachable means that connections failed or were lost.
	EjectedAsUnreachable // unreachable
	// EjectedAsSlow means that the endpoint is far slower than its peers.
	EjectedAsSlow // slow
	// EjectedAsUnresponsive means that the endpoint made no progress on any of its attempts for too long.
	EjectedAsUnresponsive // unresponsive
	// EjectedForHealthCheck means that a health check got no response.
	EjectedForHealthCheck // health_check_failed
)

func (Forward) action()            {}
func (Reject) action()             {}
func (Fail) action()               {}
func (ReleaseKV) action()          {}
func (CancelAttempt) action()      {}
func (SetTimer) action()           {}
func (HealthCheck) action()        {}
func (SubscribeEndpoints) action() {}
func (Log) action()                {}
