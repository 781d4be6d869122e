package config

import (
	"slices"
	"strings"

	"martenlock/internal/inifile"
	"martenlock/internal/openai"
)

// RequestRules say which header fields of a request are looked at, and how its body is decoded.
// Names of fields are in lower case.
type RequestRules struct {
	ClassHeader    string
	SessionHeader  string
	TenantHeader   string
	DeadlineHeader string
	Forward        []string // fields that are forwarded to engines as they are
	OpenAI         openai.DecodeOptions
}

// defaultForward are the fields that are forwarded where the file names none.
var defaultForward = []string{"x-client-request-id", "traceparent", "tracestate", "baggage"}

// neverForwarded are fields that belong to one connection or are set by the router.
var neverForwarded = []string{
	"host", "connection", "content-length", "transfer-encoding", "te", "trailer",
	"upgrade", "keep-alive", "expect", "x-request-id", "content-type",
}

// parseRequest reads how requests are decoded.
func (c *Config) parseRequest(s *inifile.Section) {
	c.Request = RequestRules{
		ClassHeader:    strings.ToLower(s.Text("class_header", "x-request-class")),
		SessionHeader:  strings.ToLower(s.Text("session_header", "x-session-id")),
		TenantHeader:   strings.ToLower(s.Text("tenant_header", "x-tenant")),
		DeadlineHeader: strings.ToLower(s.Text("deadline_header", "x-request-deadline-ms")),
		Forward:        parseForward(s),
		OpenAI: openai.DecodeOptions{
			BytesPerToken:    s.Float("bytes_per_token", 4, 0.1, 100),
			PrefixMessages:   s.Int("prefix_messages", 1, 0, 100),
			PrefixBytes:      s.Int("prefix_bytes", 1024, 0, 1<<20),
			DefaultMaxTokens: s.Int("max_tokens", 512, 1, 1<<20),
			MaxInputs:        s.Int("inputs", 2048, 1, maxItems),
			MaxDocuments:     s.Int("documents", 1000, 1, maxItems),
		},
	}
}

// parseForward reads which fields are forwarded.
func parseForward(s *inifile.Section) []string {
	names := s.List("forward")
	if !s.Has("forward") {
		return slices.Clone(defaultForward)
	}
	var fields []string
	for _, name := range names {
		field := strings.ToLower(name)
		if slices.Contains(neverForwarded, field) {
			s.AddError("forward", "%q belongs to one connection or is set by the router", name)
		}
		fields = append(fields, field)
	}
	return fields
}
