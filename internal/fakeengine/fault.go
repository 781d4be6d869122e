package fakeengine

import (
	"time"

	"martenlock/internal/invariant"
)

//go:generate go tool stringer -linecomment -type=EmbeddingDefect -output=enum_string.go

// Fault describes how an engine misbehaves. The zero Fault is no fault.
type Fault struct {
	Hang            bool          // accepts connections but reads and sends nothing; open connections stay open
	ErrorRate       float64       // share of requests that fail with status 500
	RejectAll       bool          // rejects all requests with status 503
	KVMissing       bool          // responds that the KV state can't be fetched
	ResetBefore     bool          // resets the connection instead of executing a request
	ResetAfter      int           // resets the connection after this many tokens of a decode; 0 for never, -1 for before the first token
	StallAfter      int           // sends nothing more after this many tokens of a decode; 0 for never
	SlowdownFactor  float64       // multiplies prefill times and token intervals; values up to 1 have no effect
	PrefillDelay    time.Duration // delays the end of each prefill, embeddings or rerank request; the next one starts meanwhile
	EmbeddingDefect EmbeddingDefect
	AnswersLost     bool // executes prefills and decodes but sends no response; doesn't affect embeddings and rerank requests
}

// EmbeddingDefect says how responses to embeddings requests are malformed.
type EmbeddingDefect uint8

const (
	// EmbeddingIntact leaves the response correct.
	EmbeddingIntact EmbeddingDefect = iota // intact
	// EmbeddingMissing leaves out the first embedding.
	EmbeddingMissing // short
	// EmbeddingTooLong gives the last embedding an additional dimension.
	EmbeddingTooLong // long
	// EmbeddingInfinite makes elements in JSON arrays exceed the range of a float.
	EmbeddingInfinite // inf
	// EmbeddingInvalidBase64 makes base64 embeddings undecodable.
	EmbeddingInvalidBase64 // base64
)

// hangPollInterval is the interval at which a job checks whether its engine still hangs.
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

// failsByErrorRate counts a request and reports whether the fault's error rate makes it fail.
func (e *Engine) failsByErrorRate() bool {
	e.errorCredit += e.fault.ErrorRate
	fails := e.errorCredit >= 1
	if fails {
		e.errorCredit--
	}
	return fails
}

// resetsAfter reports whether the connection is reset after the given number of tokens.
func (f *Fault) resetsAfter(tokens int) bool {
	return f.ResetAfter != 0 && tokens >= max(f.ResetAfter, 0)
}

// stallsAfter reports whether the response stops after the given number of tokens.
func (f *Fault) stallsAfter(tokens int) bool {
	return f.AnswersLost || f.StallAfter > 0 && tokens >= f.StallAfter
}

// waitWhileHung runs step after hangPollInterval. step calls waitWhileHung again if the engine still hangs.
func (j *job) waitWhileHung(step func()) {
	j.timer.Fire = step
	j.engine.cluster.loop.StartTimer(&j.timer, hangPollInterval)
}
