package connreuse

import "time"

// MinIdleTime is how long a connection rests between two requests. A second response arrives some
// milliseconds after the first.
const MinIdleTime = 25 * time.Millisecond

// RestPolicy decides how long the connections to one engine must be idle before they carry another request.
// The zero RestPolicy is ready for use.
//
// An engine may send a second response some milliseconds after the first. Responses have no id, so if the
// connection had been given to another request meanwhile, its client would be served the second response.
// While the connection is idle, the second response shows that it must be closed.
type RestPolicy struct{ sentStrayBytes bool }

// MinIdleTime returns how long a connection must have been idle. atLimit means that the engine can't get
// another connection, so that one would have to be closed for each request. An engine that has never sent
// stray bytes is spared that.
func (p *RestPolicy) MinIdleTime(atLimit bool) time.Duration {
	if atLimit && !p.sentStrayBytes {
		return 0
	}
	return MinIdleTime
}

// RecordStrayBytes records that the engine has sent bytes that belong to no request.
func (p *RestPolicy) RecordStrayBytes() { p.sentStrayBytes = true }
