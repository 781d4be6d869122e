// Package platformtest implements the platform's side of the protocol for tests: scripted engines and a scripted discovery
// service on loopback ports, and the bytes of requests, responses and endpoint lists.
//
// It does not import package platform, so that it shares no encoder or decoder with the server under test.
package platformtest

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
)

// firstToken is the content of FirstEvent.
const firstToken = "oqvh"

// Parts of a streamed response.
const (
	// StreamHead is the head of a streamed response.
	StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	// FirstEvent is the first event of a stream.
	FirstEvent = `data: {"choices":[{"index":0,"delta":{"content":"` + firstToken + `"},"finish_reason":null}]}` + "\n\n"
	// LastToken is the event with the last token and the finish reason.
	LastToken = `data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\n"
	// DoneEvent is the event that ends a stream.
	DoneEvent = "data: [DONE]\n\n"
	// Events are all events of a complete stream.
	Events = FirstEvent + LastToken + DoneEvent
	// LastChunk ends a chunked response.
	LastChunk = "0\r\n\r\n"
)

// RejectedHeader is the header field by which an engine states that it has not executed the request.
const RejectedHeader = "X-Rejected: 1\r\n"

// PrefillResponse is the response to a completed prefill whose KV state the engine retains.
const PrefillResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}"

// Chunk returns text as one chunk of a response.
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Stream returns a complete streamed response of Events.
func Stream() string {
	return TruncatedStream() + Chunk(LastToken) + Chunk(DoneEvent) + LastChunk
}

// EventsWith returns Events with another first token.
func EventsWith(token string) string { return strings.Replace(Events, firstToken, token, 1) }

// StreamWith returns a complete streamed response of EventsWith(token).
func StreamWith(token string) string {
	return StreamHead + Chunk(EventsWith(token)) + LastChunk
}

// TruncatedStream returns a streamed response up to its first event.
func TruncatedStream() string { return StreamHead + Chunk(FirstEvent) }

// Status returns a response without a body. fields are header lines, each ended by CRLF.
func Status(code int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", code, fields)
}

// ChatRequest describes a client's request.
type ChatRequest struct {
	ID, Class  string
	TimeBudget string // with its unit: 4000m is 4 s
	Body       string
}

// Text returns the request's bytes. edits are pairs of old and new text. The first occurrence of each old text is
// replaced; if there is none, the test fails.
func (r ChatRequest) Text(tb testing.TB, edits ...string) string {
	tb.Helper()
	text := fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: api.internal\r\nContent-Type: application/json\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\n"+
		"X-Route-Hash: 7f3a9c21e0b4d655\r\nX-Budget: %s\r\nX-Call-Info: prefix=5c0f6e1a2b3d4c59,prompt_len=512,prefix_len=204,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		r.ID, r.Class, r.TimeBudget, len(r.Body), r.Body)
	for i := 0; i+1 < len(edits); i += 2 {
		if !strings.Contains(text, edits[i]) {
			tb.Fatalf("the request has no %q to replace", edits[i])
		}
		text = strings.Replace(text, edits[i], edits[i+1], 1)
	}
	return text
}

// Values of Entry.Phase.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Entry is an engine's entry in the endpoint list.
type Entry struct {
	ID, Address, Flavor string
	Zone                string // "a" if empty
	Phase               string // InService if empty
	UpSinceMillis       int64
}

// String returns the entry in JSON, as in a discovery message.
func (e Entry) String() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":1,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		e.ID, e.Address, cmp.Or(e.Zone, "a"), e.Flavor, cmp.Or(e.Phase, InService), e.UpSinceMillis)
}

// CompleteList returns a discovery message with the complete endpoint list.
func CompleteList(revision int, entries ...Entry) string { return listMessage(revision, true, entries) }

// IncrementalList returns a discovery message with changes to the endpoint list.
func IncrementalList(revision int, entries ...Entry) string {
	return listMessage(revision, false, entries)
}

func listMessage(revision int, isComplete bool, entries []Entry) string {
	members := make([]string, len(entries))
	for i, entry := range entries {
		members[i] = entry.String()
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, isComplete, strings.Join(members, ","))
}
