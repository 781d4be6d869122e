package openai

// StreamEnd is the event that ends a stream of server-sent events.
const StreamEnd = "data: [DONE]\n\n"

// AppendEvent appends a server-sent event (HTML standard, section 9.2). data must not contain
// line breaks.
func AppendEvent(out, data []byte) []byte {
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
