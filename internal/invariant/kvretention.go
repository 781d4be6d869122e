package invariant

import "time"

// kvRetentionRule checks that KV state that no attempt needs is released within the retention limit. Time during which
// its engine hangs does not count, since nothing can be released there.
type kvRetentionRule struct {
	verdict *Verdict
	limit   time.Duration // including the skew
	hangs   map[string][]span
}

// span is a period of time.
type span struct {
	from time.Duration
	to   time.Duration // 0 while it lasts
}

// engineHung records that an engine stopped reading from its sockets.
func (r *kvRetentionRule) engineHung(event Event) {
	r.hangs[event.Engine] = append(r.hangs[event.Engine], span{from: event.At})
}

// engineResumed records that an engine reads from its sockets again.
func (r *kvRetentionRule) engineResumed(event Event) {
	hangs := r.hangs[event.Engine]
	if len(hangs) > 0 {
		hangs[len(hangs)-1].to = event.At
	}
}

// attemptBegan checks the KV states that were unused until this attempt, before the attempt is added to the request's
// history.
func (r *kvRetentionRule) attemptBegan(request *requestHistory, event Event) {
	if len(request.inFlight) > 0 {
		return
	}
	for engine, since := range request.retained {
		r.checkRetention(request, engine, since, event.At)
		request.retained[engine] = event.At
	}
}

// retained records that an engine retains a request's KV state.
func (r *kvRetentionRule) retained(request *requestHistory, event Event) {
	r.verdict.Checked++
	request.retained[event.Engine] = event.At
}

// released checks a KV state that was fetched or released.
func (r *kvRetentionRule) released(request *requestHistory, event Event) {
	since, isRetained := request.retained[event.Engine]
	if !isRetained {
		return
	}
	r.checkRetention(request, event.Engine, since, event.At)
	delete(request.retained, event.Engine)
}

// engineDied drops the KV state of a request at an engine whose process ended.
func (r *kvRetentionRule) engineDied(request *requestHistory, event Event) {
	delete(request.retained, event.Engine)
}

// finish checks the KV states that are retained at the end of the recording.
func (r *kvRetentionRule) finish(request *requestHistory, end time.Duration) {
	for engine, since := range request.retained {
		r.checkRetention(request, engine, since, end)
	}
}

// checkRetention checks a KV state that no attempt needed between two times. While an attempt is in flight the state is in
// use; it was checked when that attempt began.
func (r *kvRetentionRule) checkRetention(request *requestHistory, engine string, since, until time.Duration) {
	if len(request.inFlight) > 0 {
		return
	}
	unused := until - since
	for _, hang := range r.hangs[engine] {
		unused -= hang.overlap(since, until)
	}
	if unused > r.limit {
		r.verdict.addViolation(until, "%s: KV state at %s retained for %v", request.id, engine, unused.Round(time.Millisecond))
	}
}

// overlap returns how much of the time between two points the span covers.
func (s span) overlap(since, until time.Duration) time.Duration {
	to := s.to
	if to == 0 {
		to = until
	}
	return max(min(to, until)-max(s.from, since), 0)
}
