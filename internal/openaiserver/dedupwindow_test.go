package openaiserver_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenlock/internal/enginetest"
)

// runThen returns a script whose engine executes each chat request, waits and then ends the attempt.
func runThen(wait time.Duration, end enginetest.Script) enginetest.Script {
	return func(r *enginetest.Request) (keepOpen bool) {
		if !strings.HasPrefix(r.Target, "/v1/") {
			return r.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
		time.Sleep(wait)
		return end(r)
	}
}

// TestRequestWithKeyIsNotRejectedAfterItsWindow guards against a client that is told that a retry is harmless although its
// request has run and the engines no longer remember its key: the retry would run it again. A rejection is right if the
// engines never ran the request, or if they remember the key beyond the deadline of a retry.
func TestRequestWithKeyIsNotRejectedAfterItsWindow(t *testing.T) {
	const wait = 150 * ms // from the execution to the end of the attempt
	resets := func(r *enginetest.Request) bool { r.Reset(); return false }
	closes := func(*enginetest.Request) bool { return false }
	responds := func(status int) enginetest.Script {
		return func(r *enginetest.Request) bool {
			return r.Write(fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status))
		}
	}
	malformed := func(r *enginetest.Request) bool { return r.Write("no response\r\n\r\n") }
	breaksOff := func(r *enginetest.Request) bool {
		r.Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
		return false
	}
	hangs := func(r *enginetest.Request) bool { r.AwaitClose(); return false }
	const short, uncertain, long = "window = 100ms", "window = 2s", "window = 1m"
	for _, test := range []struct {
		name       string
		window     string
		end        enginetest.Script
		wantStatus int
	}{
		{"reset after the window", short, resets, http.StatusBadGateway},
		{"closed after the window", short, closes, http.StatusBadGateway},
		{"error after the window", short, responds(http.StatusInternalServerError), http.StatusBadGateway},
		{"malformed response after the window", short, malformed, http.StatusBadGateway},
		{"answer broken off after the window", short, breaksOff, http.StatusBadGateway},
		{"no answer", short, hangs, http.StatusGatewayTimeout},
		{"refused after the window", short, responds(http.StatusServiceUnavailable), http.StatusTooManyRequests},
		{"reset, the window ends before the deadline of a retry", uncertain, resets, http.StatusBadGateway},
		{"reset within a long window", long, resets, http.StatusTooManyRequests},
		{"error within a long window", long, responds(http.StatusInternalServerError), http.StatusTooManyRequests},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			engine := enginetest.Start(t, runThen(wait, test.end))
			service := startServiceWithEngines(t, "chat", "mixed", []*enginetest.Engine{engine},
				"window = 3s", test.window+"\nmax_attempts = 1")
			request, err := http.NewRequest(http.MethodPost, "http://"+service.Router.Addr()+chatPath,
				strings.NewReader(`{"model":"demo-chat","messages":[{"role":"user","content":"x"}]}`))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("X-Request-Class", "job")
			request.Header.Set("X-Request-Deadline-Ms", "2000")

			answer, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			answer.Body.Close()

			if err != nil || answer.StatusCode != test.wantStatus {
				t.Errorf("status %d, error %v, want %d: %s", answer.StatusCode, err, test.wantStatus, body)
			}
			if runs := countRuns(engine); runs != 1 {
				t.Errorf("the request ran %d times, want once", runs)
			}
		})
	}
}
