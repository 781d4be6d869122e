package control

import "time"

// Action is something that the caller has to do: a Forward, Reject, Fail, ReleaseKV, CancelAttempt, SetTimer,
// HealthCheck, SubscribeEndpoints or Log.
type Action interface{ action() }

// Forward starts the next attempt of a request. A decode engine fetches the KV state that the request's
// latest prefill left.
type Forward struct {
	ID         RequestID
	Endpoint   EndpointID
	Timeout    time.Duration // the attempt is TimedOut if no prefill is done and no answer begun by then
	SendWithin time.Duration // the attempt is ConnectFailed if not sent in full by then; 0 for Timeout alone
}

// Reject is the final answer to a request that its client may safely repeat.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 for no advice
	Reason     FinishReason
}

// Fail is the final answer to a request that may have been executed, or that the client should not repeat.
type Fail struct {
	ID     RequestID
	Reason FinishReason
}

// FinishReason says why a request finishes without service. The zero value is none of the reasons.
type FinishReason uint8

// The reasons to finish a request without service.
const (
	// FinishedMissingObjective means that the first token can't come in time.
	FinishedMissingObjective FinishReason = iota + 1 // misses_objective
	// FinishedAtDeadline means that no time is left for a further attempt.
	FinishedAtDeadline // deadline
	// FinishedOutOfAttempts means that all permitted attempts were made.
	FinishedOutOfAttempts // out_of_attempts
	// FinishedNotRepeatable means that an attempt may have been executed and the class forbids a repeat.
	FinishedNotRepeatable // not_repeatable
	// FinishedWithPrefillFull means that the prefill engines reject many requests.
	FinishedWithPrefillFull // prefill_full
	// FinishedWithoutEndpoint means that no endpoint can take the next attempt.
	FinishedWithoutEndpoint // no_endpoint
	// FinishedForLostConnections means that every engine that got the request lost its connection.
	FinishedForLostConnections // lost_connections
)

// ReleaseKV releases every KV state that engines may retain for a request and that none of its attempts
// waits for. A later Forward of the request to a prefill engine must wait until the release is confirmed,
// since the release would take the new state too.
type ReleaseKV struct {
	ID     RequestID
	Reason ReleaseReason
}

// ReleaseReason says why a KV state is released. The zero value is none of the reasons.
type ReleaseReason uint8

// The reasons of a release.
const (
	// ReleasedAtFinish means that the request finished before its answer began.
	ReleasedAtFinish ReleaseReason = iota + 1 // request_finished
	// ReleasedForLateOutcome means that an attempt ended after its request.
	ReleasedForLateOutcome // late_outcome
	// ReleasedAsKVMissing means that a decode engine could not fetch the KV state.
	ReleasedAsKVMissing // kv_missing
	// ReleasedWithoutProof means that nothing proves that the attempt for it reached its engine.
	ReleasedWithoutProof // arrival_not_proven
	// ReleasedBeforeRetry means that an earlier prefill may have left it and the prompt is computed again.
	ReleasedBeforeRetry // before_retry
)

// CancelAttempt ends an attempt before its answer begins. Its Outcome follows.
type CancelAttempt struct {
	ID      RequestID
	Attempt AttemptNumber
}

// SetTimer asks for a Timer event after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// HealthCheck asks an engine whether it is alive, and for a load report. A HealthCheckResult follows.
type HealthCheck struct{ Endpoint EndpointID }

// SubscribeEndpoints asks for the endpoint list and its changes.
type SubscribeEndpoints struct{}

// Log tells operators of a decision. The caller writes the line.
type Log struct {
	Kind     LogKind
	Endpoint EndpointID
	Reason   EjectionReason
}

// LogKind is the message of a Log.
type LogKind uint8

// The messages of a Log.
const (
	// EndpointEjected means that the endpoint gets nothing but single attempts on probation.
	EndpointEjected LogKind = iota // endpoint ejected
)

// EjectionReason says why an endpoint was ejected.
type EjectionReason uint8

// The reasons of an ejection.
const (
	// EjectedForErrors means that too many attempts failed.
	EjectedForErrors EjectionReason = iota // errors
	// EjectedForTimeouts means that too many attempts timed out.
	EjectedForTimeouts // timeouts
	// EjectedAsUnreachable means that connections failed or were lost.
	EjectedAsUnreachable // unreachable
	// EjectedAsSlow means that the endpoint is far slower than others of its role.
	EjectedAsSlow // slow
	// EjectedAsUnresponsive means that an attempt made no progress for too long.
	EjectedAsUnresponsive // unresponsive
	// EjectedForHealthCheck means that a health check was not answered.
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
