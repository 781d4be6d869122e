package fakeengine

import (
	"time"

	"martenlock/internal/invariant"
)

//go:generate go tool stringer -linecomment -type=EmbeddingDefect -output=enum_string.go

// Fault is what is wrong with an engine. The zero Fault is none.
type Fault struct {
	Hang            bool          // accepts connections but reads and sends nothing; open connections stay open
	ErrorRate       float64       // share of the requests that fail with status 500
	RejectAll       bool          // rejects all requests with status 503
	KVMissing       bool          // reports that KV states can't be fetched
	ResetBefore     bool          // resets the connection in place of executing a request
	ResetAfter      int           // resets the connection after this many tokens; 0 for never, -1 for after execution but before the first token
	StallAfter      int           // sends nothing more after this many tokens; 0 for never
	SlowdownFactor  float64       // multiplies all times; 0 and 1 for full speed
	PrefillDelay    time.Duration // after each prefill, embeddings or rerank request; others proceed meanwhile
	EmbeddingDefect EmbeddingDefect
	AnswersLost     bool // executes requests but sends no response
}

// EmbeddingDefect is how the responses to embeddings requests are malformed.
type EmbeddingDefect uint8

// The defects of embeddings.
const (
	// EmbeddingIntact is no defect.
	EmbeddingIntact EmbeddingDefect = iota // intact
	// EmbeddingMissing leaves out one embedding.
	EmbeddingMissing // short
	// EmbeddingTooLong gives the last embedding an additional dimension.
	EmbeddingTooLong // long
	// EmbeddingInfinite makes all elements exceed the range of a float.
	EmbeddingInfinite // inf
	// EmbeddingInvalidBase64 makes embeddings in base64 undecodable.
	EmbeddingInvalidBase64 // base64
)

// hangPollInterval is the interval at which a job of a hung engine checks whether it may proceed.
const hangPollInterval = 20 * time.Millisecond

// SetFault replaces the engine's fault.
func (e *Engine) SetFault(fault Fault) {
	e.cluster.do(func() {
		wasHanging := e.fault.Hang
		e.fault = fault
		if !wasHanging && fault.Hang {
			e.observe(invariant.EngineHung, "", 0)
		}
		if wasHanging && !fault.Hang {
			e.resume()
		}
	})
}

// resume reads from all connections again after the engine has hung.
func (e *Engine) resume() {
	e.observe(invariant.EngineResumed, "", 0)
	for c := range e.conns {
		c.socket.Resume()
	}
}

// countFailure counts a request and reports whether it fails by the fault's error rate.
func (e *Engine) countFailure() bool {
	e.accumulatedFailures += e.fault.ErrorRate
	fails := e.accumulatedFailures >= 1
	if fails {
		e.accumulatedFailures--
	}
	return fails
}

// resetsAfter reports whether the connection is reset once this many tokens were sent.
func (f *Fault) resetsAfter(tokens int) bool {
	return f.ResetAfter != 0 && tokens >= max(f.ResetAfter, 0)
}

// stallsAfter reports whether nothing is sent once this many tokens were sent.
func (f *Fault) stallsAfter(tokens int) bool {
	return f.AnswersLost || f.StallAfter > 0 && tokens >= f.StallAfter
}

// waitWhileHung repeats a step of the job after hangPollInterval.
func (j *job) waitWhileHung(step func()) {
	j.timer.Fire = step
	j.engine.cluster.loop.StartTimer(&j.timer, hangPollInterval)
}
