package fakeengine

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenlock/internal/invariant"
	"martenlock/internal/timerwheel"
)

const (
	kvPath          = "/kv/" // path of a KV state, without the request id that follows
	kvHashHeader    = "x-state-hash"
	kvTransferField = "kv_transfer_params" // field of requests and responses in vLLM

	kvBytesPerToken  = 64
	kvTokensPerBlock = 16
	maxKVBytes       = 256 << 10 // maximum size of a KV state; larger than one read of a socket
	maxKVStates      = 10000     // number of KV states of an engine

	// kvOrphanTimeout is the time after which an engine releases a KV state that nobody fetched or released.
	kvOrphanTimeout = 5 * time.Second
)

// kvStore holds the KV states that a prefill engine retains for decode engines.
type kvStore struct {
	engine *Engine
	states map[string]kvState // by the request id that the router assigned
}

// kvState is the KV state of one request.
type kvState struct {
	bytes    []byte
	recordID string // request id in recorded events
}

// reset makes the store empty for a new process.
func (s *kvStore) reset() { s.states = map[string]kvState{} }

// discardAll discards all KV states when the process ends. Unlike release, it records no event.
func (s *kvStore) discardAll() { s.states = nil }

// isFull reports whether the store has no capacity for another KV state.
func (s *kvStore) isFull() bool { return len(s.states) >= maxKVStates }

// retain stores the KV state of a job until it is fetched or released, at most for kvOrphanTimeout.
func (s *kvStore) retain(j *job, state []byte) {
	id := j.requestID
	s.states[id] = kvState{bytes: state, recordID: j.recordID}
	s.engine.observe(invariant.KVRetained, j.recordID, 0)
	orphanTimer := &timerwheel.Timer{Fire: func() { s.release(id) }}
	s.engine.cluster.loop.StartTimer(orphanTimer, kvOrphanTimeout)
}

// release discards the KV state of a request. It does nothing if there is none.
func (s *kvStore) release(requestID string) {
	state, isRetained := s.states[requestID]
	if !isRetained {
		return
	}
	delete(s.states, requestID)
	s.engine.observe(invariant.KVReleased, state.recordID, 0)
}

// serveKVState responds with a KV state and releases it.
func (c *conn) serveKVState(requestID string) {
	store := &c.engine.kvStore
	state, isRetained := store.states[requestID]
	if !isRetained {
		c.respond(notFound)
		return
	}
	c.respond(response{
		status:      http.StatusOK,
		contentType: contentTypeBinary,
		header:      kvHashHeader + ": " + kvHash(state.bytes) + "\r\n",
		body:        state.bytes,
	})
	c.engine.counters.served++
	store.release(requestID)
}

// kvHash returns the hash by which a decode engine verifies a KV state, in hexadecimal.
func kvHash(state []byte) string { return strconv.FormatUint(xxhash.Sum64(state), 16) }

// newKVState returns made-up bytes that depend on the whole request body.
func newKVState(j *job) []byte {
	const (
		wordBytes  = 8
		multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, so that consecutive words differ in many bits
	)
	state := make([]byte, min(int(j.request.PromptTokens+1)*kvBytesPerToken, maxKVBytes))
	word := xxhash.Sum64(j.body)
	for offset := 0; offset+wordBytes <= len(state); offset += wordBytes {
		word = word*multiplier + 1
		binary.LittleEndian.PutUint64(state[offset:], word)
	}
	return state
}

// kvTransferParams returns the parameters with which a decode engine fetches the KV state of a job, as raw
// JSON.
func kvTransferParams(j *job, state []byte) string {
	const format = `{"do_remote_prefill":true,"do_remote_decode":false,"remote_engine_id":%q,"remote_block_ids":[0,%d],"remote_host":%q,"remote_port":%d,"remote_request_id":%q}`
	spec := &j.engine.Spec
	lastBlock := len(state) / kvBytesPerToken / kvTokensPerBlock
	return fmt.Sprintf(format, spec.Name, lastBlock, spec.Listen.Addr(), spec.Listen.Port(), j.requestID)
}
