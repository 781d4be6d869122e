package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["second-answer"] = playSecondAnswer
}

const secondAnswerSettings = `[router]
listen = LISTEN
nodes = nodes.ini
log_level = debug

[limits]
engine_connections = 4

[kind gpu]
role = mixed

[class ask]
aim = 5s
deadline = 10s
effect = safe

[pool chat]
apis = chat
class = ask
`

const (
	secondAnswerAt    = 25 // the number of the answer that is sent twice
	secondAnswerDelay = 3 * time.Millisecond
	secondAnswerAsks  = 50 // of each client
	chatClients       = 4
)

// playSecondAnswer: four clients talk to one engine, each on a connection of its own, one request after another. The
// engine sends one answer twice, the second time some milliseconds late.
func playSecondAnswer(s *scene) {
	e := &echoEngine{scene: s, twice: s.hasTrouble}
	e.start()
	s.startRouter(secondAnswerSettings, fmt.Sprintf("[node gpu1]\npool = chat\naddress = %s\nkind = gpu\n", e.addr))
	var all sync.WaitGroup
	var mu sync.Mutex
	served, refused, foreign := 0, 0, 0
	for client := range chatClients {
		all.Go(func() {
			conversation := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
			for i := range secondAnswerAsks {
				text := fmt.Sprintf("client %d, secret %d", client, i)
				response, err := conversation.Post("http://"+s.listen+"/v1/chat/completions", "application/json", bytes.NewBufferString(chatBody(text)))
				if err != nil {
					s.note("%q: %v", text, err)
					continue
				}
				body, _ := io.ReadAll(response.Body)
				response.Body.Close()
				got := echoed(body)
				mu.Lock()
				switch {
				case response.StatusCode != http.StatusOK:
					refused++
					s.note("%q: %d", text, response.StatusCode)
				case got != text:
					foreign++
					s.note("the client that sent %q got the answer to %q", text, got)
				default:
					served++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	s.note("%d requests got their own answers, %d others, %d got the answer to another request", served, refused, foreign)
	if foreign > 0 {
		s.end(exitBroken, fmt.Sprintf("%d clients got the answer to another client's or an earlier request", foreign))
	}
	if served < chatClients*secondAnswerAsks/2 {
		s.end(exitNotRun, "too few requests were served")
	}
	s.end(exitHeld, "each answer belongs to its request")
}

// echoed returns the text that an answer repeats.
func echoed(body []byte) string {
	var response struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &response) != nil || len(response.Choices) != 1 {
		return ""
	}
	return response.Choices[0].Message.Content
}

// echoEngine repeats the text of each request in its answer.
type echoEngine struct {
	scene *scene
	addr  string
	twice bool // one answer is sent twice

	mu      sync.Mutex
	answers int
}

func (e *echoEngine) start() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	e.scene.must(err)
	e.addr = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
}

// serve answers the requests on a connection, one after another.
func (e *echoEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		text := "{}"
		isChat := request.URL.Path == "/v1/chat/completions"
		if isChat {
			time.Sleep(20 * time.Millisecond)
			text = e.answer(body)
		}
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		writing.Lock()
		_, _ = io.WriteString(conn, whole)
		writing.Unlock()
		if isChat && e.isSentTwice() {
			e.scene.note("the engine sends an answer twice: %s", echoed([]byte(text)))
			time.AfterFunc(secondAnswerDelay, func() {
				writing.Lock()
				defer writing.Unlock()
				_, _ = io.WriteString(conn, whole)
			})
		}
	}
}

func (e *echoEngine) isSentTwice() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	return e.twice && e.answers == secondAnswerAt
}

func (e *echoEngine) answer(body []byte) string {
	var request struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	_ = json.Unmarshal(body, &request)
	content, _ := json.Marshal(request.Messages[0].Content)
	return fmt.Sprintf(`{"id":"c1","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}],"usage":{"prompt_tokens":10,"completion_tokens":5,"total_tokens":15}}`, content)
}
