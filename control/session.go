package control

import (
	"maps"
	"time"
)

// sessionIdleTimeout is the time without a request after which a session is dropped. It bounds the table.
const sessionIdleTimeout = 60 * time.Second

// session is what the requests of one session share.
type session struct {
	serviceTime  time.Duration // accumulated over its requests
	waitTime     time.Duration // accumulated in the queue
	lastPrefill  *endpoint     // computed its latest prompt; nil for none
	cachedTokens Tokens        // of that prompt
	seenAt       Time          // latest request
}

// sessionTable holds the sessions of recent requests by id.
type sessionTable map[uint64]*session

// open returns a session, which is new if the table lacks it. Requests with id 0 belong to no session: each
// gets one of its own, outside the table.
func (t sessionTable) open(id uint64, now Time) *session {
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

// expire drops idle sessions.
func (t sessionTable) expire(now Time) {
	maps.DeleteFunc(t, func(_ uint64, row *session) bool { return now.Sub(row.seenAt) > sessionIdleTimeout })
}
