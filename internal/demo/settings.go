package demo

import (
	"fmt"
	"time"

	"martenlock/internal/invariant"
)

// Settings is the router's settings file as a format string. Its arguments are the address to listen on, the seed and the
// log level.
const Settings = `# Settings of a martenlock router. Every key is explained in docs/operating.md.
[router]
listen = %s
nodes = nodes.ini
zone = a
seed = %d
log_level = %s

[limits]
engine_stall = 2s

[rules]
pin_limit = 1s
drain_grace = 250ms
cold_from = 0.3
cold_for = 6s
fall_multiple = 2.5
fall_after = 1s

[kind reader]
role = reader
memory_tokens = 200000

[kind writer]
role = writer
memory_tokens = 60000

[kind mixed]
role = mixed
memory_tokens = 60000

[kind embedder]
role = mixed

[kind ranker]
role = mixed

[class ask]
aim = 1s
aim_per_1000 = 50ms
deadline = 5s
effect = safe

[class job]
aim = 1500ms
deadline = 6s
effect = keyed
window = 3s

[class note]
aim = 1500ms
deadline = 6s
effect = unsafe

[class search]
aim = 300ms
whole_aim = 1s
deadline = 3s
effect = safe

[pool chat]
apis = chat, completions
models = demo-chat
class = ask
report = num_requests_running:in_flight, num_requests_waiting:queue, kv_cache_usage_perc:memory

[pool embeddings]
apis = embeddings
models = demo-embed
class = search
part_items = 64
part_tokens = 4000
parts = 256
join_wait = 5ms

[pool rerank]
apis = rerank
models = demo-rerank
class = search
part_items = 100
part_tokens = 4000
parts = 256
`

// Limits are the limits for package invariant. They match Settings.
var Limits = invariant.Limits{
	Skew:                  50 * time.Millisecond,
	DrainGrace:            250 * time.Millisecond,
	KVRetentionLimit:      time.Second,
	SlowStartInitialShare: slowStartInitialShare,
	SlowStartDuration:     slowStartDuration,
	OverloadMultiple:      2.5,
	OverloadDuration:      time.Second,
}

// ExampleRequests returns shell commands that send example requests to the router at an address.
func ExampleRequests(address string) string {
	return fmt.Sprintf(`  curl -N http://%[1]s/v1/chat/completions -d '{"model":"demo-chat","stream":true,"messages":[{"role":"system","content":"You are a plumber."},{"role":"user","content":"My pipe is frozen."}]}'
  curl http://%[1]s/v1/embeddings -d '{"model":"demo-embed","input":["frozen pipe","warm boiler"],"dimensions":4}'
  curl http://%[1]s/v1/rerank -d '{"model":"demo-rerank","query":"frozen pipe","documents":["the boiler is warm","a frozen water pipe"],"top_n":1}'
`, address)
}
