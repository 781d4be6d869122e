package invariant

import "time"

// kvRetentionRule checks that KV state is not retained beyond the limit while its request has no attempt in flight.
// Time during which the engine hangs doesn't count, since a hung engine can't process a release.
type kvRetentionRule struct {
	verdict *Verdict
	limit   time.Duration           // including the skew
	hangs   map[string][]hangPeriod // by engine, in order of time
}

// hangPeriod is a period during which an engine hung.
type hangPeriod struct {
	start time.Duration
	end   time.Duration // 0 while the engine hangs
}

// engineHung records that an engine stopped reading from its sockets.
func (r *kvRetentionRule) engineHung(event Event) {
	r.hangs[event.Engine] = append(r.hangs[event.Engine], hangPeriod{start: event.At})
}

// engineResumed records that an engine reads from its sockets again.
func (r *kvRetentionRule) engineResumed(event Event) {
	hangs := r.hangs[event.Engine]
	if len(hangs) > 0 {
		hangs[len(hangs)-1].end = event.At
	}
}

// attemptBegan checks how long KV states were unused before this attempt. The caller adds the attempt to the request's
// history afterwards.
func (r *kvRetentionRule) attemptBegan(request *requestHistory, event Event) {
	if len(request.inFlight) > 0 {
		return
	}
	for engine, since := range request.kvUnusedSince {
		r.checkRetention(request, engine, since, event.At)
		request.kvUnusedSince[engine] = event.At
	}
}

// retained records that an engine retains a request's KV state.
func (r *kvRetentionRule) retained(request *requestHistory, event Event) {
	r.verdict.Checked++
	request.kvUnusedSince[event.Engine] = event.At
}

// released checks how long a KV state was unused before the engine discarded it.
func (r *kvRetentionRule) released(request *requestHistory, event Event) {
	since, isRetained := request.kvUnusedSince[event.Engine]
	if !isRetained {
		return
	}
	r.checkRetention(request, event.Engine, since, event.At)
	delete(request.kvUnusedSince, event.Engine)
}

// engineDied removes the KV state of a request at an engine whose process exited.
func (r *kvRetentionRule) engineDied(request *requestHistory, event Event) {
	delete(request.kvUnusedSince, event.Engine)
}

// finish checks the KV states that are retained at the end of the recording.
func (r *kvRetentionRule) finish(request *requestHistory, end time.Duration) {
	for engine, since := range request.kvUnusedSince {
		r.checkRetention(request, engine, since, end)
	}
}

// checkRetention checks a KV state that was unused between two times. It does nothing if an attempt is in flight, since
// the unused time ended when that attempt began.
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

// overlap returns for how long the engine hung between two times.
func (p hangPeriod) overlap(since, until time.Duration) time.Duration {
	end := p.end
	if end == 0 {
		end = until
	}
	return max(min(end, until)-max(p.start, since), 0)
}
