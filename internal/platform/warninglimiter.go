package platform

import "time"

const (
	// warningInterval is the shortest time between two log lines of one kind of warning. A condition that
	// lasts for hours must not fill the log.
	warningInterval = 10 * time.Second
	// maxWarningKinds bounds the size of warningLimiter.lastLogged, because a peer's responses can
	// make arbitrarily many kinds of warnings. Further kinds are not logged.
	maxWarningKinds = 64
)

// warning identifies a kind of warning, which is limited in rate.
type warning struct {
	message string // constant text
	reason  string // empty if there is none
	status  int    // HTTP status received; 0 if there is none
}

// warningLimiter limits the rate of each kind of warning. The zero warningLimiter is ready for use.
type warningLimiter struct {
	lastLogged map[warning]time.Duration // on the loop's clock
}

// warn logs a warning unless the limiter suppresses it. err may be nil.
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

// allow reports whether a warning may be logged now. If so, it records the warning as logged.
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
