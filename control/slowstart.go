package control

// slowStartMargin is the fraction of the overload traffic that is sent to an endpoint in slow start on
// average. The rest is headroom for random variation.
const slowStartMargin = 0.4

// slowStartState tells when an endpoint began its slow start.
type slowStartState struct {
	startedAt Time // latest start of the engine; 0 for long ago
}

// done reports whether the slow start is over.
func (s slowStartState) done(now Time, settings SlowStart) bool {
	return s.startedAt == 0 || now.Sub(s.startedAt) >= settings.Duration
}

// warmedUp reports whether an endpoint is not in slow start.
func (r *Router) warmedUp(e *endpoint) bool { return e.slowStart.done(r.now, r.settings.SlowStart) }

// slowStartShare returns the traffic of an endpoint in slow start as a fraction of the traffic of a warmed-up
// endpoint. It is lower while endpoints of the role reject many attempts.
func (r *Router) slowStartShare(role Role) float64 {
	accepted := 1 - r.rejectionRates[role].Value
	return r.settings.SlowStart.InitialShare * r.settings.SlowStart.OverloadMultiple * slowStartMargin * accepted
}

// admittedInSlowStart reports whether a request may go to endpoints in slow start. Without this limit all
// routers together could overload an engine that has just started.
//
// A request is admitted by a pseudo-random draw that depends only on the request, the router and the role,
// and only for its first attempt at a stage. The limit therefore holds over all routers together, even if
// each of them has few requests. If all engines of a role are in slow start, most requests are not admitted.
func (r *Router) admittedInSlowStart(e *endpoint, request *request) bool {
	firstOfStage := request.attempts <= min(int(e.role), 1)
	draw := hashFraction(uint64(request.ID)^r.settings.Identity.Seed, EndpointID(e.role))
	return firstOfStage && draw < r.slowStartShare(e.role)
}
