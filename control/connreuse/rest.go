package connreuse

import "time"

const (
	// MinIdleTime is how long a connection rests between two requests at least. A second response arrives some
	// milliseconds after the first.
	MinIdleTime = 25 * time.Millisecond
	// restPerDelay is the rest as a multiple of the longest delay of stray bytes.
	restPerDelay = 3
	// maxDelay is the delay above which stray bytes are not a second response, but for example a notice that
	// the connection was idle for too long. They do not prolong the rest.
	maxDelay = 100 * time.Millisecond
)

// RestPolicy decides how long the connections to one engine must be idle before they carry another request.
// The zero RestPolicy is ready for use.
//
// An engine may send a second response some milliseconds after the first. Responses have no id, so if the
// connection had been given to another request meanwhile, its client would be served the second response.
// While the connection is idle, the second response shows that it must be closed.
type RestPolicy struct {
	sentStrayBytes bool
	longestDelay   time.Duration // of stray bytes, up to maxDelay
}

// MinIdleTime returns how long a connection must have been idle. atLimit means that the engine can't get
// another connection, so that one would have to be closed for each request. An engine that has never sent
// stray bytes is spared that.
func (p *RestPolicy) MinIdleTime(atLimit bool) time.Duration {
	if atLimit && !p.sentStrayBytes {
		return 0
	}
	return max(MinIdleTime, restPerDelay*p.longestDelay)
}

// RecordStrayBytes records that the engine has sent bytes that belong to no request. delay is the time since
// the end of the response before them.
func (p *RestPolicy) RecordStrayBytes(delay time.Duration) {
	p.sentStrayBytes = true
	if delay <= maxDelay {
		p.longestDelay = max(p.longestDelay, delay)
	}
}
