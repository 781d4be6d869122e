// Package control is the decision module of one router in front of a service that serves language models
// with prefill and decode on separate engines. It decides when a request leaves the queue, which prefill
// engine computes the KV state of its prompt, which decode engine streams its answer, and what follows when
// an attempt fails.
//
// The package does no I/O, reads no clock and starts no goroutine. A caller passes events and the present
// time to Router.Handle and carries out the returned actions. The package is deterministic: the same
// settings and events give the same actions.
package control

//go:generate go tool stringer -linecomment -type=Role,Idempotency,DedupScope,Result,EndpointState,FinishReason,ReleaseReason,LogKind,EjectionReason -output=enum_string.go
