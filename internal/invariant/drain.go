package invariant

import "time"

// drainRule checks that an engine gets no attempts once the grace period after the announcement of its drain is over.
type drainRule struct {
	verdict     *Verdict
	grace       time.Duration            // including the skew
	announcedAt map[string]time.Duration // time of the first announcement, by draining engine
}

// drainAnnounced records that the endpoint list shows an engine as draining or gone. Repeated announcements
// don't extend the grace period.
func (r *drainRule) drainAnnounced(event Event) {
	_, isDraining := r.announcedAt[event.Engine]
	if isDraining {
		return
	}
	r.announcedAt[event.Engine] = event.At
	r.verdict.Checked++
}

// readyAnnounced records that the endpoint list shows an engine as ready.
func (r *drainRule) readyAnnounced(event Event) { delete(r.announcedAt, event.Engine) }

// attemptBegan checks whether the engine of an attempt may still get attempts.
func (r *drainRule) attemptBegan(event Event) {
	announcedAt, isDraining := r.announcedAt[event.Engine]
	if isDraining && event.At > announcedAt+r.grace {
		r.verdict.addViolation(event.At, "%s: sent to %s %v after its drain was announced",
			event.Request, event.Engine, (event.At - announcedAt).Round(time.Millisecond))
	}
}
