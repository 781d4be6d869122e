package fakeengine

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/tidwall/gjson"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
)

// kvFetchTimeout bounds the fetch of a KV state, including the connection setup. On the loopback interface
// only a hung engine takes longer.
const kvFetchTimeout = 300 * time.Millisecond

// kvFetchFailed is the message of the error response to a request whose KV state could not be fetched.
const kvFetchFailed = "the KV state can't be fetched"

// kvFetch fetches a KV state from a prefill engine on a separate connection. It implements
// eventloop.Handler.
type kvFetch struct {
	job    *job
	socket *eventloop.Conn
	parser *http1.Parser
	status int
	hash   string
	state  []byte
}

// failKVMissing responds that the KV state of the request is missing, and finishes the job.
func (j *job) failKVMissing(message string) {
	j.fail(http.StatusFailedDependency, "kv_state_gone", message)
}

// startKVFetch starts the fetch of the KV state that the request names.
func (j *job) startKVFetch() {
	transfer := gjson.GetBytes(j.body, kvTransferField)
	address, err := netip.ParseAddrPort(fmt.Sprintf("%s:%d", transfer.Get("remote_host").Str, transfer.Get("remote_port").Int()))
	if err != nil || j.engine.fault.KVMissing {
		j.failKVMissing(kvFetchFailed)
		return
	}
	f := &kvFetch{job: j, parser: http1.NewResponseParser(&httpLimits)}
	f.socket, err = j.engine.cluster.loop.Dial(address, f)
	if err != nil {
		j.failKVMissing(err.Error())
		return
	}
	j.fetch = f
	f.socket.Write([]byte("GET " + kvPath + transfer.Get("remote_request_id").Str + " HTTP/1.1\r\nHost: kv\r\n\r\n"))
	j.timer.Fire = f.fail
	j.engine.cluster.loop.StartTimer(&j.timer, kvFetchTimeout)
}

// Opened implements eventloop.Handler. It does nothing, since startKVFetch has written the request.
func (f *kvFetch) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler. It parses the response.
func (f *kvFetch) Data(_ *eventloop.Conn, data []byte) int {
	total := 0
	for {
		used, kind, part, err := f.parser.Next(data[total:])
		total += used
		if err != nil {
			f.fail()
			return len(data)
		}
		switch kind {
		case http1.NeedMore:
			return total
		case http1.HeadDone:
			f.status = f.parser.Head.Status
			f.hash = string(f.parser.Head.Get(kvHashHeader))
		case http1.Data:
			f.state = append(f.state, part...)
		case http1.End:
			f.complete()
			return len(data)
		}
	}
}

// EOF implements eventloop.Handler. The fetch fails if the response is incomplete.
func (f *kvFetch) EOF(*eventloop.Conn) { f.fail() }

// Closed implements eventloop.Handler. The fetch fails if the response is incomplete.
func (f *kvFetch) Closed(*eventloop.Conn, error) { f.fail() }

// Writable implements eventloop.Handler. It does nothing, since the whole request was written at once.
func (f *kvFetch) Writable(*eventloop.Conn) {}

// end ends the fetch and closes its connection. It returns false if the fetch had ended before.
func (f *kvFetch) end() bool {
	if f.job.fetch != f {
		return false
	}
	f.job.fetch = nil
	f.socket.Abort()
	return true
}

// fail ends the fetch and fails the job.
func (f *kvFetch) fail() {
	wasInProgress := f.end()
	if wasInProgress {
		f.job.failKVMissing(kvFetchFailed)
	}
}

// complete verifies the KV state and starts the decode.
func (f *kvFetch) complete() {
	if f.status != http.StatusOK || f.hash != kvHash(f.state) {
		f.fail()
		return
	}
	wasInProgress := f.end()
	if wasInProgress {
		f.job.engine.counters.fetchedBytes += len(f.state)
		f.job.decode()
	}
}
