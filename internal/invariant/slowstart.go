package invariant

import "time"

const (
	// slackRequests is the number of average requests that an engine may get in addition to allowedWork, since a request
	// can't be divided.
	slackRequests = 2
	// meanWorkAlpha is the weight of the latest attempt in an engine's moving average of work.
	meanWorkAlpha = 0.05
	// minSlowStartSeconds avoids a division by zero if SlowStartDuration is 0.
	minSlowStartSeconds = 1e-9
)

// slowStartRule checks that an engine in slow start is not overloaded. Within OverloadDuration it may get
// OverloadMultiple times the work that it can do in that time, plus slackRequests times its mean work.
type slowStartRule struct {
	verdict *Verdict
	limits  Limits
	engines map[string]*engineLoad
}

type engineLoad struct {
	inSlowStart    bool
	startedAt      time.Duration
	recentAttempts []Event // attempts of the latest OverloadDuration; empty after slow start
	meanWork       float64 // moving average of the work of attempts, in seconds
}

// load returns the engineLoad of an engine, and creates it if needed.
func (r *slowStartRule) load(engine string) *engineLoad {
	load := r.engines[engine]
	if load == nil {
		load = &engineLoad{}
		r.engines[engine] = load
	}
	return load
}

// engineStarted records that an engine started in slow start.
func (r *slowStartRule) engineStarted(event Event) {
	load := r.load(event.Engine)
	load.inSlowStart = true
	load.startedAt = event.At
	load.recentAttempts = nil
	r.verdict.Checked++
}

// attemptBegan adds the work of an attempt and compares the work of the latest OverloadDuration with the allowed work.
func (r *slowStartRule) attemptBegan(event Event) {
	load := r.load(event.Engine)
	if load.meanWork == 0 {
		load.meanWork = event.Work
	}
	load.meanWork += meanWorkAlpha * (event.Work - load.meanWork)
	if !load.inSlowStart || event.At >= load.startedAt+r.limits.SlowStartDuration {
		load.recentAttempts = nil
		return
	}
	work := load.addRecent(event, r.limits.OverloadDuration)
	age := (event.At - load.startedAt).Seconds()
	budget := r.allowedWork(age) + slackRequests*load.meanWork
	if work > budget {
		r.verdict.addViolation(event.At, "%s, %.1fs after its start: %.3fs of work within %v, budget %.3fs",
			event.Engine, age, work, r.limits.OverloadDuration, budget)
	}
}

// allowedWork returns the work that an engine may get within OverloadDuration, in seconds. age is the time since the
// engine's start, in seconds.
func (r *slowStartRule) allowedWork(age float64) float64 {
	progress := min(age/max(r.limits.SlowStartDuration.Seconds(), minSlowStartSeconds), 1)
	share := r.limits.SlowStartInitialShare + (1-r.limits.SlowStartInitialShare)*progress
	return r.limits.OverloadMultiple * share * r.limits.OverloadDuration.Seconds()
}

// addRecent adds an attempt and returns the work of the window that ends with it, in seconds.
func (l *engineLoad) addRecent(event Event, window time.Duration) float64 {
	l.recentAttempts = append(l.recentAttempts, event)
	for l.recentAttempts[0].At <= event.At-window {
		l.recentAttempts = l.recentAttempts[1:]
	}
	work := 0.0
	for _, attempt := range l.recentAttempts {
		work += attempt.Work
	}
	return work
}
