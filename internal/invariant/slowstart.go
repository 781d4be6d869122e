package invariant

import "time"

const (
	// slackRequests is allowed above a budget, since requests can't be split to fit it.
	slackRequests = 2
	// meanWorkAlpha is the weight of the latest request in an engine's mean work.
	meanWorkAlpha = 0.05
	// minSlowStartSeconds avoids a division by zero if SlowStartDuration is 0.
	minSlowStartSeconds = 1e-9
)

// slowStartRule checks that an engine in slow start is not overloaded. Within OverloadWindow it may get OverloadFactor times
// the work that it can do in that time, plus slackRequests.
type slowStartRule struct {
	verdict *Verdict
	limits  Limits
	engines map[string]*engineLoad
}

// engineLoad is the recent work of an engine.
type engineLoad struct {
	inSlowStart bool
	startedAt   time.Duration
	recent      []Event // attempts of the latest window, while in slow start
	meanWork    float64 // seconds a request
}

// load returns the load of an engine, and creates it if needed.
func (r *slowStartRule) load(engine string) *engineLoad {
	load := r.engines[engine]
	if load == nil {
		load = &engineLoad{}
		r.engines[engine] = load
	}
	return load
}

// engineStarted begins a slow start.
func (r *slowStartRule) engineStarted(event Event) {
	load := r.load(event.Engine)
	load.inSlowStart = true
	load.startedAt = event.At
	load.recent = nil
	r.verdict.Checked++
}

// attemptBegan adds the work of an attempt and compares the sum with the budget.
func (r *slowStartRule) attemptBegan(event Event) {
	load := r.load(event.Engine)
	if load.meanWork == 0 {
		load.meanWork = event.Work
	}
	load.meanWork += meanWorkAlpha * (event.Work - load.meanWork)
	if !load.inSlowStart || event.At >= load.startedAt+r.limits.SlowStartDuration {
		load.recent = nil
		return
	}
	work := load.addRecent(event, r.limits.OverloadWindow)
	age := (event.At - load.startedAt).Seconds()
	budget := r.capacity(age) + slackRequests*load.meanWork
	if work > budget {
		r.verdict.addViolation(event.At, "%s, %.1fs after its start: %.3fs of work within %v, budget %.3fs",
			event.Engine, age, work, r.limits.OverloadWindow, budget)
	}
}

// capacity returns the seconds of work that an engine may get within a window. age is the time since its start in seconds.
func (r *slowStartRule) capacity(age float64) float64 {
	progress := min(age/max(r.limits.SlowStartDuration.Seconds(), minSlowStartSeconds), 1)
	share := r.limits.SlowStartInitialSpeed + (1-r.limits.SlowStartInitialSpeed)*progress
	return r.limits.OverloadFactor * share * r.limits.OverloadWindow.Seconds()
}

// addRecent adds an attempt and returns the seconds of work of the window that ends with it.
func (l *engineLoad) addRecent(event Event, window time.Duration) float64 {
	l.recent = append(l.recent, event)
	for l.recent[0].At <= event.At-window {
		l.recent = l.recent[1:]
	}
	work := 0.0
	for _, attempt := range l.recent {
		work += attempt.Work
	}
	return work
}
