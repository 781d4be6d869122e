package control

import (
	"maps"
	"time"
)

// sessionIdleTimeout is the time without a request after which a session is dropped. Without it the session
// table would grow without bound.
const sessionIdleTimeout = 60 * time.Second

// session is the state that the requests of one session share.
type session struct {
	serviceTime  time.Duration // sum over its answered requests
	waitTime     time.Duration // sum of the times that its forwarded requests spent in the queue
	lastPrefill  *endpoint     // endpoint that got its latest prompt; nil for none
	cachedTokens Tokens        // tokens of that prompt
	seenAt       Time          // arrival of its latest request
}

// sessionTable holds the sessions of recent requests by session id.
type sessionTable map[uint64]*session

// findOrCreate returns the session with an id, and creates it if it is missing. Id 0 means no session: each
// such request gets a new session that is not added to the table.
func (t sessionTable) findOrCreate(id uint64, now Time) *session {
	found := t[id]
	if found == nil {
		found = &session{}
	}
	if id != 0 {
		t[id] = found
	}
	found.seenAt = now
	return found
}

func (t sessionTable) expire(now Time) {
	maps.DeleteFunc(t, func(_ uint64, s *session) bool { return now.Sub(s.seenAt) > sessionIdleTimeout })
}
