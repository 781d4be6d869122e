// Package control is the decision logic of a router for a service that serves language models with prefill
// and decode on separate engines. It decides when a request leaves the queue, which prefill engine computes
// the KV state of its prompt, which decode engine streams its answer, and whether and where a failed attempt
// is retried.
//
// The package does no I/O, reads no clock and starts no goroutine. The caller passes events and the current
// time to Router.Handle and carries out the returned actions. The package is deterministic: the same
// settings, times and events give the same actions.
package control

//go:generate go tool stringer -linecomment -type=Role,Idempotency,DedupScope,Result,EndpointState,FinishReason,ReleaseReason,LogKind,EjectionReason -output=enum_string.go
