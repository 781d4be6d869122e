// Package openai decodes requests of OpenAI's API (chat completions, completions, embeddings) and
// of Jina's and Cohere's rerank API, as far as a router needs them. It also builds the request
// bodies for engines, and checks, splits and merges their responses. JSON members that it does not
// know are forwarded byte for byte.
//
// For prefill and decode on separate engines it follows vLLM's protocol (vLLM's documentation,
// "Disaggregated prefilling", and its example proxy). The request to the prefill engine asks for
// one token and has kv_transfer_params with do_remote_decode. The kv_transfer_params of its
// response are passed to the decode engine.
package openai

//go:generate go tool stringer -linecomment -type=API,inputKind -output=enum_string.go

// API is an operation, such as chat completions. String returns its name in the configuration.
type API uint8

// The operations that a router serves.
const (
	Chat        API = iota // chat
	Completions            // completions
	Embeddings             // embeddings
	Rerank                 // rerank
)

// allAPIs lists the operations in the order of their constants.
var allAPIs = [...]API{Chat, Completions, Embeddings, Rerank}

// APINames returns the names of the operations in the configuration. The index of a name is its API.
func APINames() []string {
	names := make([]string, len(allAPIs))
	for i, api := range allAPIs {
		names[i] = api.String()
	}
	return names
}

// ParseAPI returns the operation with the given name in the configuration. The second result reports
// whether there is one.
func ParseAPI(name string) (API, bool) {
	for _, api := range allAPIs {
		if api.String() == name {
			return api, true
		}
	}
	return 0, false
}

// APIByPath returns the operation that is served at the given path. The second result reports whether
// there is one.
func APIByPath(path string) (API, bool) {
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

// HasOneStage reports whether the operation has no separate stages for prefill and decode.
func (a API) HasOneStage() bool { return a == Embeddings || a == Rerank }

// contentMember returns the name of the request member that holds the model's input.
func (a API) contentMember() string {
	switch a {
	case Chat:
		return "messages"
	case Completions:
		return "prompt"
	case Embeddings:
		return "input"
	case Rerank:
		return "documents"
	}
	return ""
}

// resultMember returns the name of the response member that lists the results for the request's
// items. It returns "" for operations whose responses are not checked.
func (a API) resultMember() string {
	switch a {
	case Embeddings:
		return "data"
	case Rerank:
		return "results"
	case Chat, Completions:
	}
	return ""
}
