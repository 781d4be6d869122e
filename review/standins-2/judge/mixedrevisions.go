package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["mixed-revisions"] = playMixedRevisions
}

const mixedRevisionsSettings = `[router]
listen = LISTEN
nodes = nodes.ini
log_level = debug

[kind gpu]
role = mixed
memory_tokens = 1000

[class search]
aim = 10s
deadline = 20s
effect = safe

[pool embed]
apis = embeddings
class = search
cache_bytes = 10000000
`

// Inputs of about 100 tokens, and one of about 800, which fills the engine.
var (
	knownText = "known " + strings.Repeat("k", 400)
	newText   = "new " + strings.Repeat("n", 400)
	largeText = "large " + strings.Repeat("l", 3200)
)

// playMixedRevisions: an operator replaces the engine by one with the next revision of the model while a request waits
// for room. One of its two inputs is cached.
func playMixedRevisions(s *scene) {
	old := newEngine(s, "gpu1", serveRevision(3)).start()
	next := newEngine(s, "gpu2", serveRevision(4)).start()
	s.startRouter(mixedRevisionsSettings, old.node("embed", "ready", "revision = 3"))
	first := s.ask("/v1/embeddings", "first", embedBody(knownText), 25*time.Second)
	s.note("first: %v", first)
	if first.status != http.StatusOK {
		s.end(exitNotRun, "the first request was not served")
	}
	answers := make(chan answer, 2)
	go func() { answers <- s.ask("/v1/embeddings", "large", embedBody(largeText), 25*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	pair := make(chan answer, 1)
	go func() { pair <- s.ask("/v1/embeddings", "pair", embedBody(knownText, newText), 25*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	if s.hasTrouble {
		s.write("nodes.ini", old.node("embed", "draining", "revision = 3")+next.node("embed", "ready", "revision = 4"))
		s.note("the node list drains gpu1 (revision 3) and names gpu2 (revision 4) as ready")
	}
	got := <-pair
	s.note("pair: %v", got)
	s.note("large: %v", <-answers)
	if got.status != http.StatusOK {
		s.end(exitNotRun, "the pair was not served")
	}
	revisions := revisionsOf(s, got.body)
	s.note("the two embeddings of the one answer are of the revisions %v", revisions)
	if len(revisions) != 2 || revisions[0] != revisions[1] {
		s.end(exitBroken, fmt.Sprintf("one answer has embeddings of the revisions %v, x-cache: %s", revisions, got.header.Get("x-cache")))
	}
	s.end(exitHeld, "the answer is of one revision")
}

// serveRevision returns how an engine with this revision of the model runs a request. The first element of each
// embedding is the revision. A large input takes 3 s.
func serveRevision(revision int) func(*engine, http.ResponseWriter, *http.Request, string) {
	return func(_ *engine, w http.ResponseWriter, _ *http.Request, body string) {
		var request struct {
			Input json.RawMessage `json:"input"`
		}
		_ = json.Unmarshal([]byte(body), &request)
		var inputs []string
		if json.Unmarshal(request.Input, &inputs) != nil {
			inputs = make([]string, 1)
			_ = json.Unmarshal(request.Input, &inputs[0])
		}
		var data []string
		for i, input := range inputs {
			if strings.HasPrefix(input, "large") {
				time.Sleep(3 * time.Second)
			}
			data = append(data, fmt.Sprintf(`{"object":"embedding","index":%d,"embedding":[%d,%d,1]}`, i, revision, len(input)))
		}
		time.Sleep(20 * time.Millisecond)
		writeJSON(w, fmt.Sprintf(`{"object":"list","data":[%s],"model":"m","usage":{"prompt_tokens":100,"total_tokens":100}}`, strings.Join(data, ",")))
	}
}

func embedBody(inputs ...string) string {
	text, _ := json.Marshal(map[string]any{"model": "m", "input": inputs})
	return string(text)
}

func revisionsOf(s *scene, body string) (revisions []int) {
	var response struct {
		Data []struct {
			Embedding []float64 `json:"embedding"`
		} `json:"data"`
	}
	s.must(json.Unmarshal([]byte(body), &response))
	for _, result := range response.Data {
		revisions = append(revisions, int(result.Embedding[0]))
	}
	return revisions
}
