// Package openai decodes requests in the published form of OpenAI's API (chat
// completions, completions, embeddings) and of Jina's and Cohere's rerank, as far as a
// router needs them, and makes the bodies that go on to engines. Members that it does
// not know are kept byte for byte.
//
// For two stages it follows vLLM's disaggregated form (its docs, "Disaggregated
// prefilling", and the proxy example there): the reader is asked for one token with
// kv_transfer_params that say do_remote_decode, and what it answers in that member goes
// to the writer.
package openai

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// API is one operation.
type API uint8

// The operations.
const (
	Chat API = iota
	Completions
	Embeddings
	Rerank
)

var words = []string{"chat", "completions", "embeddings", "rerank"}

// APIWords are the operations' names in settings.
func APIWords() []string { return words }

// ParseAPI returns the operation of a name.
func ParseAPI(word string) (API, bool) {
	i := slices.Index(words, word)
	return API(max(i, 0)), i >= 0
}

func (a API) String() string { return words[a] }

// Path returns the operation that is served at a path.
func Path(path string) (API, bool) {
	switch path {
	case "/v1/chat/completions":
		return Chat, true
	case "/v1/completions":
		return Completions, true
	case "/v1/embeddings":
		return Embeddings, true
	case "/rerank", "/v1/rerank", "/v2/rerank":
		return Rerank, true
	}
	return 0, false
}

// Rules say how a request's size and opening are estimated.
type Rules struct {
	BytesPerToken float64
	Opening       int // messages that may be shared with other sessions
	OpeningBytes  int // bytes of a completion's prompt that may be
	MaxTokens     int // of an answer, where the request names none
	Inputs        int // most inputs of an embeddings request
	Documents     int // most documents of a rerank
}

// Call is a decoded request. Its slices lie in the body.
type Call struct {
	API        API
	Model      string
	Stream     bool
	MaxTokens  int     // longest answer
	Asked      int     // longest answer that the request itself names; 0 where it names none
	Longest    float64 // estimated tokens of the longest item, where each is computed for itself
	Prompt     float64 // estimated tokens
	Opening    uint64  // hash of what it may share with other sessions; 0 for none
	OpeningLen float64 // estimated tokens of that
	User       string
	CacheKey   string // prompt_cache_key
	Count      int    // inputs of an embeddings request, documents of a rerank
	TopN       int    // of a rerank; 0 for all
	Dimensions int    // of embeddings; 0 for the model's own
	members    []member
}

type member struct {
	name  string // the key as it stands, unescaped
	raw   []byte // "key": value
	value []byte
}

// Error is an answer in OpenAI's form.
type Error struct {
	Status               int
	Message, Type, Param string // Param may be empty
	Code                 string // may be empty
}

func (e *Error) Error() string { return e.Message }

// Invalid is a request that can't be served as it is.
func Invalid(param, format string, args ...any) *Error {
	return &Error{Status: 400, Message: fmt.Sprintf(format, args...), Type: "invalid_request_error", Param: param}
}

// Append appends the error's JSON.
func (e *Error) Append(b []byte) []byte {
	b = append(b, `{"error":{"message":`...)
	b = gjson.AppendJSONString(b, e.Message)
	b = append(b, `,"type":`...)
	b = gjson.AppendJSONString(b, e.Type)
	for _, f := range [2][2]string{{`,"param":`, e.Param}, {`,"code":`, e.Code}} {
		if b = append(b, f[0]...); f[1] == "" {
			b = append(b, "null"...)
		} else {
			b = gjson.AppendJSONString(b, f[1])
		}
	}
	return append(b, "}}"...)
}

// maxDepth bounds nesting: the JSON library recurses.
const maxDepth = 200

// Check tells whether b is one JSON value of bounded depth.
func Check(b []byte) bool {
	depth, quoted := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted:
			if c == '\\' {
				i++
			} else if c == '"' {
				quoted = false
			}
		case c == '"':
			quoted = true
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return false
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return gjson.ValidBytes(b)
}

// Decode reads a request's body. The body must not change while the Call is in use.
func Decode(api API, body []byte, rules Rules) (*Call, *Error) {
	if !Check(body) {
		return nil, Invalid("", "the body is not valid JSON, or is nested more than %d deep", maxDepth)
	}
	text := unsafe.String(unsafe.SliceData(body), len(body))
	root := gjson.Parse(text)
	if !root.IsObject() {
		return nil, Invalid("", "the body is not a JSON object")
	}
	c := &Call{API: api, members: make([]member, 0, 8)}
	var got fields
	var err *Error
	root.ForEach(func(key, value gjson.Result) bool {
		name := key.Str
		// Two members of a name are read differently by different parsers.
		if slices.ContainsFunc(c.members, func(m member) bool { return m.name == name }) {
			err = Invalid(name, "%q stands twice in the body", name)
			return false
		}
		if len(c.members) == maxMembers {
			err = Invalid("", "the body has more than %d members", maxMembers)
			return false
		}
		c.members = append(c.members, member{name, body[key.Index : value.Index+len(value.Raw)], body[value.Index : value.Index+len(value.Raw)]})
		got.take(name, value)
		return true
	})
	if err == nil {
		err = c.read(&got, rules)
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

const maxMembers = 200

// fields are the members that the router looks at.
type fields struct {
	model, stream, streamOptions, user, cacheKey, messages, prompt, input, maxTokens, maxCompletion gjson.Result
	query, documents, topN, returnDocuments, encoding, dimensions, n                                gjson.Result
}

func (f *fields) take(name string, v gjson.Result) {
	switch name {
	case "model":
		f.model = v
	case "stream":
		f.stream = v
	case "stream_options":
		f.streamOptions = v
	case "user":
		f.user = v
	case "prompt_cache_key":
		f.cacheKey = v
	case "messages":
		f.messages = v
	case "prompt":
		f.prompt = v
	case "input":
		f.input = v
	case "max_tokens":
		f.maxTokens = v
	case "max_completion_tokens":
		f.maxCompletion = v
	case "query":
		f.query = v
	case "documents":
		f.documents = v
	case "top_n":
		f.topN = v
	case "return_documents":
		f.returnDocuments = v
	case "encoding_format":
		f.encoding = v
	case "dimensions":
		f.dimensions = v
	case "n":
		f.n = v
	}
}

// set tells that a member is there and not null, which OpenAI's API takes as left out.
func set(v gjson.Result) bool { return v.Exists() && v.Type != gjson.Null }

func text(name string, v gjson.Result) (string, *Error) {
	if set(v) && v.Type != gjson.String {
		return "", Invalid(name, "%s must be a string", name)
	}
	return v.Str, nil
}

func flag(name string, v gjson.Result) (bool, *Error) {
	if set(v) && !v.IsBool() {
		return false, Invalid(name, "%s must be true or false", name)
	}
	return v.Type == gjson.True, nil
}

// count reads a whole number of at least 1; 0 where it is left out.
func count(name string, v gjson.Result) (int, *Error) {
	if !set(v) {
		return 0, nil
	}
	n, err := strconv.ParseInt(v.Raw, 10, 32)
	if v.Type != gjson.Number || err != nil || n < 1 {
		return 0, Invalid(name, "%s must be a whole number of at least 1", name)
	}
	return int(n), nil
}

func (c *Call) read(f *fields, rules Rules) (err *Error) {
	if c.Model, err = text("model", f.model); err != nil {
		return err
	}
	if c.Model == "" {
		return Invalid("model", "you must provide a model")
	}
	if c.User, err = text("user", f.user); err != nil {
		return err
	}
	if c.CacheKey, err = text("prompt_cache_key", f.cacheKey); err != nil {
		return err
	}
	switch c.API {
	case Chat, Completions:
		if c.Stream, err = flag("stream", f.stream); err != nil {
			return err
		}
		if set(f.streamOptions) && !c.Stream {
			return Invalid("stream_options", "stream_options is only allowed where stream is true")
		}
		old, err := count("max_tokens", f.maxTokens)
		if err != nil {
			return err
		}
		now, err := count("max_completion_tokens", f.maxCompletion)
		if err != nil {
			return err
		}
		c.Asked = max(old, now)
		if c.MaxTokens = c.Asked; c.MaxTokens == 0 {
			c.MaxTokens = rules.MaxTokens
		}
		n, err := count("n", f.n)
		if err != nil {
			return err
		}
		c.MaxTokens *= max(n, 1)
		if c.API == Chat {
			return c.chat(f.messages, rules)
		}
		return c.completion(f.prompt, rules)
	case Embeddings:
		if v, err := text("encoding_format", f.encoding); err != nil || set(f.encoding) && v != "float" && v != "base64" {
			return Invalid("encoding_format", "encoding_format must be float or base64")
		}
		if c.Dimensions, err = count("dimensions", f.dimensions); err != nil {
			return err
		}
		return c.inputs("input", f.input, rules.Inputs, rules)
	}
	return c.rerank(f, rules)
}

func (c *Call) chat(messages gjson.Result, rules Rules) (err *Error) {
	if !messages.IsArray() {
		return Invalid("messages", "messages must be a list")
	}
	n, opening := 0, xxhash.New()
	messages.ForEach(func(_, m gjson.Result) bool {
		if !m.IsObject() || m.Get("role").Type != gjson.String {
			err = Invalid(fmt.Sprintf("messages.[%d].role", n), "messages[%d] must be an object with a role", n)
			return false
		}
		c.Prompt += float64(len(m.Raw)) / rules.BytesPerToken
		if n++; n <= rules.Opening {
			_, _ = opening.WriteString(m.Raw)
			c.OpeningLen = c.Prompt
		}
		return true
	})
	if err == nil && n == 0 {
		return Invalid("messages", "messages must not be empty")
	}
	c.Longest = c.Prompt
	// A conversation's first and only message is its own: it opens no other's.
	if n > rules.Opening && rules.Opening > 0 {
		c.Opening = opening.Sum64()
	} else {
		c.OpeningLen = 0
	}
	return err
}

func (c *Call) completion(prompt gjson.Result, rules Rules) *Error {
	if prompt.Type == gjson.String {
		if b := len(prompt.Str); rules.OpeningBytes > 0 && b > rules.OpeningBytes {
			c.Opening = xxhash.Sum64String(prompt.Str[:rules.OpeningBytes])
			c.OpeningLen = float64(rules.OpeningBytes) / rules.BytesPerToken
		}
	}
	return c.inputs("prompt", prompt, rules.Inputs, rules)
}

// inputs reads a string, a list of strings, a list of tokens or a list of such lists.
func (c *Call) inputs(name string, v gjson.Result, most int, rules Rules) (err *Error) {
	wrong := Invalid(name, "%s must be a string, a list of strings, a list of tokens or a list of lists of tokens; none empty", name)
	switch {
	case v.Type == gjson.String:
		c.Prompt, c.Count = float64(len(v.Str))/rules.BytesPerToken, 1
		c.Longest = c.Prompt
		if v.Str == "" {
			return wrong
		}
		return nil
	case !v.IsArray():
		return wrong
	}
	n, kind := 0, byte(0)
	v.ForEach(func(_, item gjson.Result) bool {
		k, before := byte('?'), c.Prompt
		switch {
		case item.Type == gjson.String && item.Str != "":
			k = 's'
			c.Prompt += float64(len(item.Str)) / rules.BytesPerToken
		case token(item):
			k = 't'
			c.Prompt++
		case item.IsArray():
			tokens := 0
			item.ForEach(func(_, t gjson.Result) bool {
				tokens++
				if !token(t) {
					tokens = 0
					return false
				}
				return true
			})
			if c.Prompt += float64(tokens); tokens > 0 {
				k = 'l'
			}
		}
		c.Longest = max(c.Longest, c.Prompt-before)
		if n++; n == 1 {
			kind = k
		}
		if k == '?' || k != kind {
			err = wrong
		} else if n > most && kind != 't' {
			err = Invalid(name, "%s has more than %d items", name, most)
		}
		return err == nil
	})
	if n == 0 {
		return wrong
	}
	if c.Count = n; kind == 't' {
		c.Count, c.Longest = 1, c.Prompt
	}
	return err
}

func token(v gjson.Result) bool {
	if v.Type != gjson.Number {
		return false
	}
	_, err := strconv.ParseUint(v.Raw, 10, 32)
	return err == nil
}

func (c *Call) rerank(f *fields, rules Rules) (err *Error) {
	query, err := text("query", f.query)
	if err != nil {
		return err
	}
	if query == "" {
		return Invalid("query", "query must be a string that is not empty")
	}
	if c.TopN, err = count("top_n", f.topN); err != nil {
		return err
	}
	if _, err := flag("return_documents", f.returnDocuments); err != nil {
		return err
	}
	if !f.documents.IsArray() {
		return Invalid("documents", "documents must be a list")
	}
	n := 0
	f.documents.ForEach(func(_, d gjson.Result) bool {
		doc := d
		if d.IsObject() {
			doc = d.Get("text")
		}
		if doc.Type != gjson.String {
			err = Invalid("documents", "documents[%d] must be a string or an object with a text", n)
			return false
		}
		tokens := float64(len(query)+len(doc.Str)) / rules.BytesPerToken
		c.Prompt, c.Longest = c.Prompt+tokens, max(c.Longest, tokens)
		if n++; n > rules.Documents {
			err = Invalid("documents", "there are more than %d documents", rules.Documents)
		}
		return err == nil
	})
	if n == 0 && err == nil {
		return Invalid("documents", "documents must not be empty")
	}
	c.Count = n
	return err
}

// Size is about how many bytes a call's bodies have.
func (c *Call) Size() (n int) {
	for _, m := range c.members {
		n += len(m.raw) + 1
	}
	return n
}

// kvMember is vLLM's name for what a state's transfer needs.
const kvMember = "kv_transfer_params"

// AppendRead appends the body for a reader: one token, not streamed, its state kept
// for another engine to fetch.
func (c *Call) AppendRead(b []byte) []byte {
	b = c.join(b, kvMember, "stream", "stream_options", "max_tokens", "max_completion_tokens", "n")
	return append(b, `"stream":false,"max_tokens":1,"`+kvMember+`":{"do_remote_decode":true,"do_remote_prefill":false,`+
		`"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}}`...)
}

// AppendWrite appends the body for a writer that fetches a state.
func (c *Call) AppendWrite(b, kv []byte) []byte {
	b = c.join(b, kvMember)
	return append(append(append(b, `"`+kvMember+`":`...), kv...), '}')
}

// AppendWhole appends the body for an engine that does it all. A client may not
// speak of states that are the router's affair.
func (c *Call) AppendWhole(b []byte) []byte {
	b = c.join(b, kvMember)
	b[len(b)-1] = '}'
	return b
}

// join appends an open object of all members but some, with a comma at its end; a
// decoded call has at least its model.
func (c *Call) join(b []byte, without ...string) []byte {
	b = append(b, '{')
	for _, m := range c.members {
		if !slices.Contains(without, m.name) {
			b = append(append(b, m.raw...), ',')
		}
	}
	return b
}

// ReadAnswer takes from a reader's answer what the writer needs and how many tokens
// of the prompt it had kept. ok is false where there is no state to fetch.
func ReadAnswer(body []byte) (kv []byte, cached int, ok bool) {
	if !Check(body) {
		return nil, 0, false
	}
	v := gjson.GetBytes(body, kvMember)
	if !v.IsObject() || !v.Get("remote_engine_id").Exists() {
		return nil, 0, false
	}
	return []byte(v.Raw), int(gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int()), true
}

// PromptTokens is what an answer's usage says that the prompt had; 0 where it says nothing.
func PromptTokens(body []byte) float64 { return gjson.GetBytes(body, "usage.prompt_tokens").Num }

// TooLong is the error for a request that no engine of a model can take, in OpenAI's form.
func (c *Call) TooLong(limit, prompt float64) *Error {
	param := [...]string{"messages", "prompt", "input", "documents"}[c.API]
	text := fmt.Sprintf("This model's maximum context length is %.0f tokens. However, your %s have about %.0f tokens", limit, param, prompt)
	if c.Asked > 0 {
		text += fmt.Sprintf(" and %d are asked for the answer", c.Asked)
	}
	return &Error{Status: 400, Message: text + ". Please reduce their length.", Type: "invalid_request_error", Param: param, Code: "context_length_exceeded"}
}

// Done ends a stream of server-sent events.
const Done = "data: [DONE]\n\n"

// AppendEvent appends a server-sent event (HTML standard, section 9.2) of one line.
func AppendEvent(b, data []byte) []byte {
	return append(append(append(b, "data: "...), data...), "\n\n"...)
}

// AppendModels appends the answer to GET /v1/models.
func AppendModels(b []byte, models []string, created int64) []byte {
	b = append(b, `{"object":"list","data":[`...)
	for i, m := range models {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"id":`...)
		b = gjson.AppendJSONString(b, m)
		b = append(b, `,"object":"model","created":`...)
		b = strconv.AppendInt(b, created, 10)
		b = append(b, `,"owned_by":"martenlock"}`...)
	}
	return append(b, "]}"...)
}

// Orca reads an ORCA load report as engines attach to answers: JSON after "JSON " or
// key=value pairs after "TEXT ", values named as in OrcaLoadReport (xDS, orca.proto),
// custom ones under named_metrics. It returns the values of names in order, or nil where
// one is missing: half a report would be read as an empty engine.
func Orca(value []byte, names []string) []float64 {
	if len(names) == 0 {
		return nil
	}
	kind, rest, _ := bytes.Cut(bytes.TrimSpace(value), []byte{' '})
	out := make([]float64, 0, len(names))
	switch {
	case string(kind) == "JSON" && Check(rest):
		root := gjson.ParseBytes(rest)
		for _, name := range names {
			v := root.Get("named_metrics." + gjson.Escape(name))
			if !v.Exists() {
				v = root.Get(gjson.Escape(name))
			}
			if v.Type != gjson.Number {
				return nil
			}
			out = append(out, v.Num)
		}
	case string(kind) == "TEXT":
		for _, name := range names {
			found := false
			for pair := range bytes.SplitSeq(rest, []byte{','}) {
				key, v, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
				key = bytes.TrimPrefix(key, []byte("named_metrics."))
				if string(key) == name {
					n, err := strconv.ParseFloat(string(v), 64)
					if err != nil {
						return nil
					}
					out, found = append(out, n), true
					break
				}
			}
			if !found {
				return nil
			}
		}
	default:
		return nil
	}
	return out
}
