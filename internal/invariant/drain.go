package invariant

import "time"

// drainRule checks that a draining engine gets no attempts after the grace period.
type drainRule struct {
	verdict  *Verdict
	grace    time.Duration            // including the skew
	drainsAt map[string]time.Duration // time of the drain notice, by draining engine
}

// drainAnnounced records that the endpoint list shows an engine as draining or gone. Only the first notice counts.
func (r *drainRule) drainAnnounced(event Event) {
	_, isDraining := r.drainsAt[event.Engine]
	if isDraining {
		return
	}
	r.drainsAt[event.Engine] = event.At
	r.verdict.Checked++
}

// readyAnnounced records that the endpoint list shows an engine as ready.
func (r *drainRule) readyAnnounced(event Event) { delete(r.drainsAt, event.Engine) }

// attemptBegan checks the engine of an attempt.
func (r *drainRule) attemptBegan(event Event) {
	drainedAt, isDraining := r.drainsAt[event.Engine]
	if isDraining && event.At > drainedAt+r.grace {
		r.verdict.addViolation(event.At, "%s: sent to %s %v after its drain was announced",
			event.Request, event.Engine, (event.At - drainedAt).Round(time.Millisecond))
	}
}
