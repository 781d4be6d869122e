package platform

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"martenlock/internal/platform/platformtest"
)

// fault is what goes wrong with an attempt.
type fault string

const (
	noFault          fault = "none"
	errorStatus      fault = "error"
	rejectedByEngine fault = "rejected"
	kvStateMissing   fault = "KV state missing" // at decode engines; others serve
	connectionReset  fault = "reset"
	malformedEvent   fault = "malformed event"
	malformedHead    fault = "malformed head"
	truncatedStream  fault = "truncated stream" // at decode engines; others serve
	interimResponse  fault = "interim response"
	secondResponse   fault = "second response"
	enormousChunk    fault = "enormous chunk" // at decode engines; others serve
	slowResponse     fault = "slow"
)

const (
	faultsPerHundred  = 12 // of attempts
	slowResponseDelay = 30 * time.Millisecond
)

var allFaults = []fault{
	errorStatus, rejectedByEngine, kvStateMissing, connectionReset, malformedEvent, malformedHead,
	truncatedStream, interimResponse, secondResponse, enormousChunk, slowResponse,
}

// attemptJudge records the attempts that engines see, and which rules they break.
type attemptJudge struct {
	mu         sync.Mutex
	inFlight   map[string]int // attempts by request
	executions map[string]int // at decode engines, by request
	violations []string
}

// begin records the begin of an attempt, which a decode engine executes unless the fault is a rejection.
func (j *attemptJudge) begin(r *platformtest.Request, f fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inFlight[r.ID]++; j.inFlight[r.ID] > 1 {
		j.violations = append(j.violations, "two attempts of "+r.ID+" at once")
	}
	if r.Engine.Role() != platformtest.Decode || f == rejectedByEngine || f == kvStateMissing {
		return
	}
	if j.executions[r.ID]++; j.executions[r.ID] > 1 && strings.HasPrefix(r.ID, "note") {
		j.violations = append(j.violations, r.ID+" was executed twice")
	}
}

// end records that the next bytes of the engine end the attempt.
func (j *attemptJudge) end(r *platformtest.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight[r.ID]--
}

// rejected records that a client's request was rejected.
func (j *attemptJudge) rejected(requestID string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if strings.HasPrefix(requestID, "note") && j.executions[requestID] > 0 {
		j.violations = append(j.violations, requestID+" was rejected after its execution")
	}
}

// faultyScript answers attempts with faults at random.
func faultyScript(rng *rand.Rand, judge *attemptJudge) platformtest.Script {
	var mu sync.Mutex // guards rng
	return platformtest.ForAttempts(func(r *platformtest.Request) bool {
		f := noFault
		mu.Lock()
		if rng.IntN(100) < faultsPerHundred {
			f = allFaults[rng.IntN(len(allFaults))]
		}
		mu.Unlock()
		judge.begin(r, f)
		if f == slowResponse {
			time.Sleep(slowResponseDelay)
		}
		judge.end(r) // what follows ends the attempt as soon as it arrives
		return respondWithFault(r, f)
	})
}

// respondWithFault answers an attempt with a fault, and reports whether the connection stays open.
func respondWithFault(r *platformtest.Request, f fault) (keepOpen bool) {
	isDecode := r.Engine.Role() == platformtest.Decode
	switch f {
	case noFault, slowResponse:
	case errorStatus:
		return r.Write(platformtest.Status(http.StatusInternalServerError, ""))
	case rejectedByEngine:
		return r.Write(platformtest.Status(http.StatusServiceUnavailable, platformtest.RejectedHeader))
	case kvStateMissing:
		if isDecode {
			return r.Write(platformtest.Status(http.StatusGone, platformtest.RejectedHeader))
		}
	case connectionReset:
		r.Reset()
		return false
	case malformedEvent:
		return r.Write(platformtest.StreamHead + platformtest.Chunk("\x00\x01 no event"))
	case malformedHead:
		return r.Write("\xff\xfe HTTP\r\n\r\n")
	case truncatedStream:
		if isDecode {
			r.Write(platformtest.TruncatedStream())
			return false
		}
	case interimResponse:
		r.Write("HTTP/1.1 102 X\r\n\r\n")
	case secondResponse:
		platformtest.WellBehaved(r)
		return r.Write(platformtest.Stream())
	case enormousChunk:
		if isDecode {
			return r.Write(platformtest.TruncatedStream() + "c0000000\r\nxxxx")
		}
	}
	return platformtest.WellBehaved(r)
}

// clientOutcome is how a client's request ended.
type clientOutcome string

const (
	clientServed       clientOutcome = "served"
	clientGotTruncated clientOutcome = "truncated"
	clientRejected     clientOutcome = "rejected"
	clientFailed       clientOutcome = "failed"
	clientLeft         clientOutcome = "left"
	clientMalformed    clientOutcome = "malformed"
)

// randomClient sends requests, leaves some of them and garbles some.
type randomClient struct {
	*testing.T
	address string
	number  int
	rng     *rand.Rand
	judge   *attemptJudge
}

// sendRequest sends the client's request of this number on a new connection, and returns how it ended.
func (c *randomClient) sendRequest(number int) clientOutcome {
	c.Helper()
	class := []string{"ask", "ask", "note"}[c.rng.IntN(3)]
	requestID := fmt.Sprintf("%s-%d-%d", class, c.number, number)
	body := `{"stream":true}`
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Route-Hash: %016x\r\nX-Budget: 4000m\r\nX-Call-Info: prompt_len=%d,prefix_len=0,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		requestID, class, c.rng.Uint64()|1, 100+c.rng.IntN(3000), len(body), body)
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.Error(err)
		return clientFailed
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	switch c.rng.IntN(10) {
	case 0:
		io.WriteString(conn, text)
		time.Sleep(time.Duration(c.rng.IntN(10)) * time.Millisecond)
		return clientLeft
	case 1:
		io.WriteString(conn, strings.Replace(text, "X-Budget: ", "X-Budget: \x00", 1))
		if answer := readAnswer(conn); answer.Code < 400 && !answer.ConnEnded {
			c.Errorf("a malformed request got %d", answer.Code)
		}
		return clientMalformed
	}
	io.WriteString(conn, text)
	return c.judgeAnswer(requestID, readAnswer(conn))
}

// judgeAnswer returns what an answer means, and fails the test if it is no valid one.
func (c *randomClient) judgeAnswer(requestID string, answer platformtest.Answer) clientOutcome {
	c.Helper()
	switch {
	case answer.IsCompleteStream():
		return clientServed
	case answer.Code == http.StatusOK && !answer.IsComplete && strings.HasPrefix(platformtest.Events, answer.Body):
		return clientGotTruncated
	case answer.Code == http.StatusServiceUnavailable:
		c.judge.rejected(requestID)
		return clientRejected
	case answer.Code == http.StatusBadGateway || answer.Code == http.StatusGatewayTimeout:
		return clientFailed
	}
	c.Errorf("%s: %+v", requestID, answer)
	return clientFailed
}

// TestInvariantsHoldUnderRandomFaults: engines that fail in every way at random, clients of both
// classes, some of whom leave, and malformed requests beside them; judged by what the engines and clients saw
// on their sockets.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	const clientCount, requestsPerClient, minServed = 12, 40, 150
	const firstSeed = 51 // of the engines: its faults truncate more streams and reject more requests than those of seed 0
	h := startHarness(t, "r1", "r1", "r1", "w1", "w1", "w1", "w1")
	judge := &attemptJudge{inFlight: map[string]int{}, executions: map[string]int{}}
	for i, e := range h.engines {
		e.SetScript(faultyScript(rand.New(rand.NewPCG(7, uint64(firstSeed+i))), judge))
	}

	var clients sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[clientOutcome]int{}
	for number := range clientCount {
		clients.Go(func() {
			client := &randomClient{T: t, address: h.server.Addr(), number: number, rng: rand.New(rand.NewPCG(3, uint64(number))), judge: judge}
			for request := range requestsPerClient {
				outcome := client.sendRequest(request)
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()

	h.waitUntilNothingOpen()
	judge.mu.Lock()
	defer judge.mu.Unlock()
	if n := len(judge.violations); n > 0 {
		t.Errorf("%d rules broken: %v", n, judge.violations[:min(n, 10)])
	}
	if outcomes[clientServed] < minServed || outcomes[clientGotTruncated]+outcomes[clientFailed] == 0 {
		t.Errorf("the faults had another effect than intended: %v", outcomes)
	}
	t.Log(outcomes)
}
