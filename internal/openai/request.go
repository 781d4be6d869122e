package openai

import (
	"slices"
	"unsafe"

	"github.com/tidwall/gjson"
)

// DecodeOptions are the limits of a request and the parameters of its estimates.
type DecodeOptions struct {
	BytesPerToken    float64 // for estimates: prompts are not tokenized
	PrefixMessages   int     // first messages of a chat that other sessions may share
	PrefixBytes      int     // first bytes of a completion's prompt that other sessions may share
	DefaultMaxTokens int     // limit of an answer's tokens if the request has none
	MaxInputs        int     // of an embeddings request
	MaxDocuments     int     // of a rerank request
}

// tokens returns the estimated number of tokens of a text, given its length in bytes.
func (o *DecodeOptions) tokens(bytes int) float64 { return float64(bytes) / o.BytesPerToken }

// Request is a decoded request. Its strings and slices refer to the body that it was decoded
// from. Token counts of prompts are estimates.
type Request struct {
	API                API
	Model              string
	Stream             bool
	MaxTokens          int     // limit of the tokens of all its answers together
	RequestedMaxTokens int     // the request's own limit of the tokens of one answer; 0 for none
	LongestItemTokens  float64 // tokens of the longest input, or of the whole prompt of a chat
	PromptTokens       float64 // tokens of all inputs together
	PrefixHash         uint64  // hash of the prefix that it may share with other sessions; 0 for none
	PrefixTokens       float64 // tokens of that prefix
	User               string
	CacheKey           string // prompt_cache_key
	ItemCount          int    // inputs of an embeddings request, or documents of a rerank request
	TopN               int    // results of a rerank response; 0 for all
	Dimensions         int    // requested length of an embedding; 0 for the model's default
	members            []member
}

// member is one member of a request's object. Its slices refer to the body.
type member struct {
	name  string // the key, unescaped
	raw   []byte // the key, colon and value
	value []byte
}

const (
	// maxMembers is the most members of a request. Each is compared with all earlier ones, so
	// without a bound a client could cause quadratic work.
	maxMembers = 200

	// typicalMembers is the initial capacity of the list. Most requests have fewer.
	typicalMembers = 8
)

// Decode decodes and checks the body of a request. The Request refers to body, which must not
// change while the Request is in use.
func Decode(api API, body []byte, options DecodeOptions) (*Request, *Error) {
	if !IsValidJSON(body) {
		return nil, InvalidRequest("", "the body is not valid JSON, or is nested more than %d deep", maxDepth)
	}
	text := unsafe.String(unsafe.SliceData(body), len(body)) // no copy: the body does not change
	root := gjson.Parse(text)
	if !root.IsObject() {
		return nil, InvalidRequest("", "the body is not a JSON object")
	}
	r := &Request{API: api, members: make([]member, 0, typicalMembers)}
	var fields requestFields
	var err *Error
	root.ForEach(func(key, value gjson.Result) bool {
		err = r.addMember(body, key, value)
		if err != nil {
			return false
		}
		field := fields.pointer(key.Str)
		if field != nil {
			*field = value
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	err = r.decode(&fields, &options)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// addMember records one member of the body. It returns an error if there are too many or if the
// name is repeated: engines differ in which of two they use.
func (r *Request) addMember(body []byte, key, value gjson.Result) *Error {
	name := key.Str
	if r.indexOf(name) >= 0 {
		return InvalidRequest(name, "%q stands twice in the body", name)
	}
	if len(r.members) == maxMembers {
		return InvalidRequest("", "the body has more than %d members", maxMembers)
	}
	end := value.Index + len(value.Raw)
	r.members = append(r.members, member{name: name, raw: body[key.Index:end], value: body[value.Index:end]})
	return nil
}

// indexOf returns the position of a member in the list, or -1.
func (r *Request) indexOf(name string) int {
	return slices.IndexFunc(r.members, func(m member) bool { return m.name == name })
}

// decode checks the members that the router looks at and sets the fields that depend on them.
func (r *Request) decode(fields *requestFields, options *DecodeOptions) *Error {
	err := r.decodeCommon(fields)
	if err != nil {
		return err
	}
	switch r.API {
	case Chat:
		return r.decodeChat(fields, options)
	case Completions:
		return r.decodeCompletion(fields, options)
	case Embeddings:
		return r.decodeEmbeddings(fields, options)
	case Rerank:
		return r.decodeRerank(fields, options)
	}
	return InvalidRequest("", "unknown operation %v", r.API)
}

// decodeCommon decodes the members that all operations share.
func (r *Request) decodeCommon(fields *requestFields) (err *Error) {
	r.Model, err = decodeString("model", fields.model)
	if err != nil {
		return err
	}
	if r.Model == "" {
		return InvalidRequest("model", "you must provide a model")
	}
	r.User, err = decodeString("user", fields.user)
	if err != nil {
		return err
	}
	r.CacheKey, err = decodeString("prompt_cache_key", fields.cacheKey)
	return err
}
