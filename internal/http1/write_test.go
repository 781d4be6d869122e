package http1

import (
	"net/http"
	"testing"
)

// TestAppendFunctionsWriteExactBytes compares the bytes of a request and of a chunked response.
func TestAppendFunctionsWriteExactBytes(t *testing.T) {
	request := AppendRequest([]byte("before;"), http.MethodPost, "/v1/embeddings")
	request = AppendField(request, "Host", "a")
	request = AppendContentLength(request, 12)
	response := AppendStatus(nil, http.StatusRequestEntityTooLarge)
	response = AppendField(response, "Transfer-Encoding", []byte("chunked"))
	response = append(response, "\r\n"...)
	response = AppendChunk(response, []byte("0123456789abcdef"))
	response = AppendChunk(response, nil) // must append nothing: an empty chunk would end the content
	response = append(response, LastChunk...)

	wantRequest := "before;POST /v1/embeddings HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n"
	if string(request) != wantRequest {
		t.Errorf("request %q, want %q", request, wantRequest)
	}
	wantResponse := "HTTP/1.1 413 Content Too Large\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"
	if string(response) != wantResponse {
		t.Errorf("response %q, want %q", response, wantResponse)
	}
}

// TestStatusTextFollowsRFC9110: the phrases are those of net/http except for two that RFC 9110 names differently.
// Codes that this program does not send get "Status".
func TestStatusTextFollowsRFC9110(t *testing.T) {
	renamed := map[int]string{
		http.StatusRequestEntityTooLarge: "Content Too Large",
		http.StatusRequestURITooLong:     "URI Too Long",
	}
	codes := 0
	for status := minStatusCode; status < 600; status++ {
		got := StatusText(status)
		if got == "Status" {
			continue
		}
		codes++
		want := http.StatusText(status)
		if phrase, isRenamed := renamed[status]; isRenamed {
			want = phrase
		}
		if got != want {
			t.Errorf("StatusText(%d) is %q, want %q", status, got, want)
		}
	}
	if codes != 18 {
		t.Errorf("%d status codes have a phrase, want 18", codes)
	}
}
