package openai

import "slices"

// kvMember is vLLM's member with the parameters of a transfer of KV state.
const kvMember = "kv_transfer_params"

// prefillMembers are the last members of the body for a prefill engine, and its closing brace.
const prefillMembers = `"stream":false,"max_tokens":1,"` + kvMember + `":{"do_remote_decode":true,"do_remote_prefill":false,` +
	`"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}}`

// BodySize returns the approximate size of the bodies for engines, in bytes.
func (r *Request) BodySize() int {
	size := 0
	for _, m := range r.members {
		size += len(m.raw) + 1
	}
	return size
}

// AppendPrefillBody appends the body for a prefill engine. It asks for one token, not streamed, and
// for the KV state to be retained until another engine fetches it.
func (r *Request) AppendPrefillBody(out []byte) []byte {
	out = r.appendOpenObject(out, kvMember, "stream", "stream_options", "max_tokens", "max_completion_tokens", "n")
	return append(out, prefillMembers...)
}

// AppendDecodeBody appends the body for a decode engine. kvTransfer is
// PrefillResponse.KVTransfer, by which the engine fetches the KV state.
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

// appendOpenObject appends an object of all members except some, with a comma in place of the
// closing brace. There is always a member before the comma: a decoded request has a model.
func (r *Request) appendOpenObject(out []byte, without ...string) []byte {
	out = append(out, '{')
	for _, m := range r.members {
		if slices.Contains(without, m.name) {
			continue
		}
		out = append(out, m.raw...)
		out = append(out, ',')
	}
	return out
}
