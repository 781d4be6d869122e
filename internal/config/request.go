package config

import (
	"slices"
	"strings"

	"martenlock/internal/inifile"
	"martenlock/internal/openai"
)

// RequestRules configures how a request's header and body are decoded. Names of header fields are in
// lower case.
type RequestRules struct {
	ClassHeader     string
	SessionHeader   string
	TenantHeader    string
	DeadlineHeader  string
	ForwardedFields []string // header fields that are forwarded to engines unchanged
	OpenAI          openai.DecodeOptions
}

// defaultForwardedFields is the default of the key forward.
var defaultForwardedFields = []string{"x-client-request-id", "traceparent", "tracestate", "baggage"}

// neverForwarded are the header fields that belong to one connection or are set by the router.
var neverForwarded = []string{
	"host", "connection", "content-length", "transfer-encoding", "te", "trailer",
	"upgrade", "keep-alive", "expect", "x-request-id", "content-type",
}

func (c *Config) parseRequest(section *inifile.Section) {
	c.Request = RequestRules{
		ClassHeader:     strings.ToLower(section.Text("class_header", "x-request-class")),
		SessionHeader:   strings.ToLower(section.Text("session_header", "x-session-id")),
		TenantHeader:    strings.ToLower(section.Text("tenant_header", "x-tenant")),
		DeadlineHeader:  strings.ToLower(section.Text("deadline_header", "x-request-deadline-ms")),
		ForwardedFields: parseForwardedFields(section),
		OpenAI: openai.DecodeOptions{
			BytesPerToken:    section.Float("bytes_per_token", 4, 0.1, 100),
			PrefixMessages:   section.Int("prefix_messages", 1, 0, 100),
			PrefixBytes:      section.Int("prefix_bytes", 1024, 0, 1<<20),
			DefaultMaxTokens: section.Int("max_tokens", 512, 1, 1<<20),
			MaxInputs:        section.Int("inputs", 2048, 1, maxItems),
			MaxDocuments:     section.Int("documents", 1000, 1, maxItems),
		},
	}
}

// parseForwardedFields parses the key forward and returns the names in lower case.
func parseForwardedFields(section *inifile.Section) []string {
	names := section.List("forward")
	if !section.Has("forward") {
		return slices.Clone(defaultForwardedFields)
	}
	var fields []string
	for _, name := range names {
		field := strings.ToLower(name)
		if slices.Contains(neverForwarded, field) {
			section.AddError("forward", "%w header field %q, it applies to a single connection or is set by the router", inifile.ErrInvalid, name)
		}
		fields = append(fields, field)
	}
	return fields
}
