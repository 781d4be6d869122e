package openai

import "slices"

// kvMember is the member of vLLM's requests and responses with the parameters of a KV state transfer.
const kvMember = "kv_transfer_params"

// prefillBodyEnd is the end of the body for a prefill engine: the members that the router sets and
// the closing brace.
const prefillBodyEnd = `"stream":false,"max_tokens":1,"` + kvMember + `":{"do_remote_decode":true,"do_remote_prefill":false,` +
	`"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}}`

// BodySize returns the approximate size in bytes of the request's body for an engine.
func (r *Request) BodySize() int {
	size := 0
	for _, m := range r.members {
		size += len(m.raw) + 1
	}
	return size
}

// AppendPrefillBody appends the body for a prefill engine. The body asks for one token, not streamed,
// and for the KV state to be retained until another engine fetches it.
func (r *Request) AppendPrefillBody(out []byte) []byte {
	out = r.appendOpenObject(out, kvMember, "stream", "stream_options", "max_tokens", "max_completion_tokens", "n")
	return append(out, prefillBodyEnd...)
}

// AppendDecodeBody appends the body for a decode engine. kvTransfer is the
// PrefillResponse.KVTransfer that tells the engine where to fetch the KV state.
func (r *Request) AppendDecodeBody(out, kvTransfer []byte) []byte {
	out = r.appendOpenObject(out, kvMember)
	out = append(out, `"`+kvMember+`":`...)
	out = append(out, kvTransfer...)
	return append(out, '}')
}

// AppendColocatedBody appends the body for a colocated engine. The client's kv_transfer_params are
// left out, since only the router may set them.
func (r *Request) AppendColocatedBody(out []byte) []byte {
	out = r.appendOpenObject(out, kvMember)
	out[len(out)-1] = '}' // replaces the last comma
	return out
}

// appendOpenObject appends an object of all members except the excluded ones, with a comma in place
// of the closing brace. The object is never empty, because every decoded request has a model.
func (r *Request) appendOpenObject(out []byte, excluded ...string) []byte {
	out = append(out, '{')
	for _, m := range r.members {
		if slices.Contains(excluded, m.name) {
			continue
		}
		out = append(out, m.raw...)
		out = append(out, ',')
	}
	return out
}
