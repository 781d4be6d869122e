package platform

import "time"

const (
	// warningInterval is the shortest time between two warnings of one kind. A condition that lasts
	// for hours must not fill the log.
	warningInterval = 10 * time.Second
	// maxWarningKinds bounds the kinds that are remembered, since a kind may have a status or a reason
	// that the peer chooses. Further kinds are not logged.
	maxWarningKinds = 64
)

// warning is one kind of warning that may recur.
type warning struct {
	message string // a constant
	reason  string // empty if the message says all
	status  int    // the HTTP status received; 0 if the warning is not about one
}

// warningLimiter bounds how often each kind of warning is logged.
type warningLimiter struct {
	lastLogged map[warning]time.Duration // by the loop's clock
}

// warn logs a warning that may recur, unless the limiter suppresses it. err may be nil.
func (s *Server) warn(kind warning, err error) {
	if !s.warnings.allow(s.loop.Now(), kind) {
		return
	}
	line := s.log.Warn().Err(err)
	if kind.reason != "" {
		line = line.Str("reason", kind.reason)
	}
	if kind.status != 0 {
		line = line.Int("status", kind.status)
	}
	line.Msg(kind.message)
}

// allow reports whether a warning may be logged now. If so, it counts the warning as logged.
func (l *warningLimiter) allow(now time.Duration, kind warning) bool {
	last, isKnown := l.lastLogged[kind]
	if isKnown && now-last < warningInterval {
		return false
	}
	if !isKnown && len(l.lastLogged) >= maxWarningKinds {
		return false
	}
	if l.lastLogged == nil {
		l.lastLogged = map[warning]time.Duration{}
	}
	l.lastLogged[kind] = now
	return true
}
