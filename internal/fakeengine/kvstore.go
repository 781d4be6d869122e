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
	kvPath          = "/kv/" // followed by a request id: where a KV state is fetched
	kvHashHeader    = "x-state-hash"
	kvTransferField = "kv_transfer_params" // vLLM's member of requests and responses

	kvBytesPerToken  = 64
	kvTokensPerBlock = 16
	maxKVBytes       = 256 << 10 // of one state; takes several reads of a socket
	maxKVStates      = 10000     // of one engine

	// kvOrphanLimit is the age at which a KV state is released that was neither fetched nor released.
	kvOrphanLimit = 5 * time.Second
)

// kvStore contains the KV states that a prefill engine retains for decode engines.
type kvStore struct {
	engine *Engine
	states map[string]kvState // by the router's request id
}

// kvState is the KV state of one request.
type kvState struct {
	bytes    []byte
	recordID string // of its request
}

// reset makes an empty store for a new process.
func (s *kvStore) reset() { s.states = map[string]kvState{} }

// lose discards all KV states when the process ends. That is not recorded as a release.
func (s *kvStore) lose() { s.states = nil }

// isFull reports whether the store has no capacity for another KV state.
func (s *kvStore) isFull() bool { return len(s.states) >= maxKVStates }

// retain stores the KV state of a job until it is fetched or released, or for kvOrphanLimit.
func (s *kvStore) retain(j *job, state []byte) {
	id := j.requestID
	s.states[id] = kvState{bytes: state, recordID: j.recordID}
	s.engine.observe(invariant.KVRetained, j.recordID, 0)
	orphanTimer := &timerwheel.Timer{Fire: func() { s.release(id) }}
	s.engine.cluster.loop.StartTimer(orphanTimer, kvOrphanLimit)
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

// kvHash returns the hash by which a decode engine checks a KV state, in hexadecimal.
func kvHash(state []byte) string { return strconv.FormatUint(xxhash.Sum64(state), 16) }

// newKVState returns a made-up KV state, which depends on the whole request.
func newKVState(j *job) []byte {
	const (
		wordBytes  = 8
		multiplier = 0x9e3779b97f4a7c15 // bits of the golden ratio, so that consecutive words differ much
	)
	state := make([]byte, min(int(j.request.PromptTokens+1)*kvBytesPerToken, maxKVBytes))
	word := xxhash.Sum64(j.body)
	for offset := 0; offset+wordBytes <= len(state); offset += wordBytes {
		word = word*multiplier + 1
		binary.LittleEndian.PutUint64(state[offset:], word)
	}
	return state
}

// kvTransferParams returns what a decode engine needs to fetch the KV state of a job, as raw JSON.
func kvTransferParams(j *job, state []byte) string {
	const format = `{"do_remote_prefill":true,"do_remote_decode":false,"remote_engine_id":%q,"remote_block_ids":[0,%d],"remote_host":%q,"remote_port":%d,"remote_request_id":%q}`
	spec := &j.engine.Spec
	lastBlock := len(state) / kvBytesPerToken / kvTokensPerBlock
	return fmt.Sprintf(format, spec.Name, lastBlock, spec.Listen.Addr(), spec.Listen.Port(), j.requestID)
}
