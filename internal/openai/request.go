package openai

import (
	"slices"
	"unsafe"

	"github.com/tidwall/gjson"
)

// DecodeOptions are the limits on requests and the parameters for estimating their token counts.
type DecodeOptions struct {
	BytesPerToken    float64 // average length of a token, by which token counts are estimated
	PrefixMessages   int     // number of first messages of a chat that form its shared prefix; 0 for no shared prefix
	PrefixBytes      int     // number of first bytes of a completion's prompt that form its shared prefix; 0 for no shared prefix
	DefaultMaxTokens int     // limit on output tokens for requests that set none
	MaxInputs        int     // maximum number of inputs of an embeddings request, or of prompts of a completion
	MaxDocuments     int     // maximum number of documents of a rerank request
}

// tokens returns the estimated number of tokens of a text, given its length in bytes.
func (o *DecodeOptions) tokens(bytes int) float64 { return float64(bytes) / o.BytesPerToken }

// Request is a decoded request. Its strings and slices refer to the body that it was decoded
// from. Token counts of prompts are estimates, except for prompts that the client has tokenized.
type Request struct {
	API                API
	Model              string
	Stream             bool
	MaxTokens          int     // limit on output tokens, summed over all choices
	RequestedMaxTokens int     // limit on output tokens of one choice that the request sets; 0 for none
	LongestItemTokens  float64 // tokens of the longest input, of the longest document with the query, or of all messages of a chat
	PromptTokens       float64 // tokens of all inputs, documents or messages
	PrefixHash         uint64  // hash of the prefix that requests of other sessions may share; 0 for none
	PrefixTokens       float64 // tokens of that prefix; 0 for none
	User               string
	PromptCacheKey     string // names the session of a request without a session header
	ItemCount          int    // inputs of an embeddings request, prompts of a completion, or documents of a rerank request
	TopN               int    // maximum number of results of a rerank response; 0 for all
	Dimensions         int    // requested length of an embedding; 0 for the model's default
	members            []member
}

// member is one member of a request's JSON object.
type member struct {
	name  string // the key, unescaped
	raw   []byte // the key, colon and value as JSON
	value []byte // as JSON
}

const (
	// maxMembers is the maximum number of members of a request. Each name is compared with all earlier
	// names, so without a limit a client could cause quadratic work.
	maxMembers = 200

	// memberCapacity is the initial capacity of Request.members, enough for most requests.
	memberCapacity = 8
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
	r := &Request{API: api, members: make([]member, 0, memberCapacity)}
	var fields requestFields
	var err *Error
	root.ForEach(func(key, value gjson.Result) bool {
		err = r.addMember(body, key, value)
		if err != nil {
			return false
		}
		field := fields.byName(key.Str)
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

// addMember records one member of the body. It returns an error if the body has too many members
// or repeats a name. Engines differ in which of two members with the same name they use.
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

// indexOf returns the index of a member in r.members, or -1.
func (r *Request) indexOf(name string) int {
	return slices.IndexFunc(r.members, func(m member) bool { return m.name == name })
}

// decode checks the members that the router reads and sets the fields that depend on them.
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
	r.PromptCacheKey, err = decodeString("prompt_cache_key", fields.promptCacheKey)
	return err
}
