package upstream

import (
	"net/netip"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// maxCopiedBody is the size in bytes up to which a body is copied behind its head, so that one
// buffer and one system call take both. Larger ones are sent from where they lie.
const maxCopiedBody = 16 << 10

// Conn is one connection to an engine; it has one request at a time. It belongs to its Pool, and
// to the caller of Start until the sink is told End or Broken or the caller calls Abort.
type Conn struct {
	pool        *Pool
	conn        *eventloop.Conn
	parser      *http1.Parser
	addr        netip.AddrPort // of the engine when the request at hand was started
	established bool
	timer       timerwheel.Timer // until it must be established, and while idle

	sink         ResponseHandler // of the request at hand; nil while idle
	request      request
	sendDeadline sendDeadline
	keepAlive    bool // the response at hand allows another request
	reuse        reuse
}

// request is what waits to be sent until the connection is established.
type request struct{ head, body []byte }

// sendDeadline bounds when the request's last byte must have left this process.
type sendDeadline struct {
	timer timerwheel.Timer
	at    time.Duration // of the loop's clock; means nothing unless timer is set
}

// reuse is what the options' policy is told of a request on a connection that was idle before.
type reuse struct {
	idleSince time.Duration // of the loop's clock
	idleFor   time.Duration // before the request at hand
	sentAt    time.Duration // of the loop's clock
	pending   bool          // it was idle before the request at hand, and nothing has come since
}

// isIdle reports whether the connection waits for a request.
func (k *Conn) isIdle() bool { return k.sink == nil && !k.conn.IsClosed() && k.timer.Running() }

// send sends the request over a connection that is established.
func (k *Conn) send() {
	if late, ok := k.sink.(HeadBuilder); ok {
		k.request.head = late.RequestHead()
	}
	k.conn.Write(k.request.head)
	if len(k.request.body) > maxCopiedBody {
		k.conn.WriteRef(k.request.body)
	} else {
		k.conn.Write(k.request.body)
	}
	k.request = request{}
	k.sink.Connected()
}

// Pause stops reading the response, for back pressure.
func (k *Conn) Pause() { k.conn.Pause() }

// Resume reads on after Pause.
func (k *Conn) Resume() { k.conn.Resume() }

// Written reports whether the request's last byte has left this process. It may be called on a
// connection that has ended.
func (k *Conn) Written() bool {
	return k.established && k.conn.UnsentBytes() == 0 && k.conn.UnsentAtClose() == 0
}

// SendWithin breaks the request as not sent where its last byte has not left this process
// within d. 0 sets no bound, and an earlier bound stays.
func (k *Conn) SendWithin(d time.Duration) {
	if d <= 0 {
		return
	}
	at := k.pool.Loop.Now() + d
	if k.sendDeadline.timer.Running() && k.sendDeadline.at <= at {
		return
	}
	k.sendDeadline.at = at
	k.sendDeadline.timer.Fire = k.sendTimedOut
	k.pool.Loop.StartTimer(&k.sendDeadline.timer, d)
}

func (k *Conn) sendTimedOut() {
	if k.sink != nil && !k.Written() {
		k.fail(CloseSendTimeout, "")
	}
}

// Abort ends the connection at once; its sink is told no more. On one that has ended it does
// nothing.
func (k *Conn) Abort() { k.abort(CloseAborted) }

// abort is Abort for a reason.
func (k *Conn) abort(reason CloseReason) {
	if !k.conn.IsClosed() {
		k.pool.Loop.StopTimer(&k.timer)
		k.conn.ShutdownAndAbort()
		k.ended(reason)
	}
	k.sink = nil
}

// expire ends a connection that was not established in time, or was idle for too long.
func (k *Conn) expire() {
	if !k.established {
		k.fail(CloseConnectTimeout, "")
		return
	}
	k.closeIdle(CloseIdleTimeout)
}

// closeIdle ends the connection while it is idle.
func (k *Conn) closeIdle(reason CloseReason) {
	k.pool.removeIdle(k)
	k.abort(reason)
}

// ended is called once when the connection has ended.
func (k *Conn) ended(reason CloseReason) {
	k.pool.Loop.StopTimer(&k.sendDeadline.timer)
	k.pool.connEnded(k, reason)
}

// fail ends the connection and tells its sink, if there is one, what was wrong with the response.
func (k *Conn) fail(reason CloseReason, malformed string) {
	how := k.currentBreak(malformed)
	k.reportReuse(true)
	sink := k.sink
	if sink == nil {
		k.pool.removeIdle(k)
	}
	k.abort(reason)
	if sink != nil {
		sink.Failed(how)
	}
}

// currentBreak returns how the request at hand breaks if the connection ends now.
func (k *Conn) currentBreak(reason string) ConnError {
	return ConnError{Established: k.established, Written: k.Written(), ReusedConnection: k.reuse.pending, Reason: reason}
}

// reportReuse tells the options' policy, once a request, how it went on a connection that was idle before.
func (k *Conn) reportReuse(lost bool) {
	if !k.reuse.pending {
		return
	}
	k.reuse.pending = false
	if trust := k.pool.Options.ReusePolicy; trust != nil {
		trust.Observe(k.reuse.idleFor, k.pool.Loop.Now()-k.reuse.sentAt, lost)
	}
}

// Opened implements eventloop.Handler: the connection is established, and its request is sent.
func (k *Conn) Opened(*eventloop.Conn) {
	k.established = true
	k.pool.Loop.StopTimer(&k.timer)
	if k.sink != nil {
		k.send()
	}
}

// Data implements eventloop.Handler: it parses the response and hands it to the sink. Bytes that
// no request asked for end the connection.
func (k *Conn) Data(c *eventloop.Conn, b []byte) int {
	k.reportReuse(false)
	consumed := 0
	for {
		if k.sink == nil || c.IsClosed() {
			if consumed < len(b) {
				k.fail(CloseStrayBytes, "")
			}
			return len(b)
		}
		n, kind, data, err := k.parser.Next(b[consumed:])
		consumed += n
		if err != nil {
			k.fail(CloseMalformedResponse, err.Reason)
			return len(b)
		}
		switch kind {
		case http1.NeedMore:
			return consumed
		case http1.HeadDone:
			k.keepAlive = k.parser.Head.KeepAlive
			k.sink.Head(&k.parser.Head)
		case http1.Data:
			k.sink.Data(data)
		case http1.End:
			k.endResponse()
		}
	}
}

// endResponse is called when the response is complete: the connection becomes idle or ends.
func (k *Conn) endResponse() {
	sink := k.sink
	k.sink = nil
	k.pool.Loop.StopTimer(&k.sendDeadline.timer)
	if k.reusable() {
		k.conn.Resume()
		k.reuse.idleSince = k.pool.Loop.Now()
		k.pool.addIdle(k)
	} else {
		k.abort(CloseNotReusable)
	}
	sink.Complete()
}

// reusable reports whether the connection may be kept after a complete response.
func (k *Conn) reusable() bool {
	sameEngine := !k.pool.Removed && k.addr == k.pool.Addr
	return k.keepAlive && sameEngine && k.conn.UnsentBytes() == 0
}

// EOF implements eventloop.Handler: the engine has closed, which may complete the response.
func (k *Conn) EOF(c *eventloop.Conn) {
	if c.Paused() { // the client is slow: EOF is told again after what lies unread
		return
	}
	if k.sink != nil && k.parser.EndOfInput() {
		sink := k.sink
		k.abort(ClosedByEngine)
		sink.Complete()
		return
	}
	k.fail(ClosedByEngine, "")
}

// Writable implements eventloop.Handler: a request is buffered whole, so nothing waits for it.
func (k *Conn) Writable(*eventloop.Conn) {}

// Closed implements eventloop.Handler: the connection ended, and the request at hand breaks.
func (k *Conn) Closed(*eventloop.Conn, error) {
	reason := CloseConnectFailed
	if k.established {
		reason = CloseReset
	}
	k.pool.Loop.StopTimer(&k.timer)
	how := k.currentBreak("")
	k.reportReuse(true)
	sink := k.sink
	k.sink = nil
	if sink == nil {
		k.pool.removeIdle(k)
	}
	k.ended(reason)
	if sink != nil {
		sink.Failed(how)
	}
}
