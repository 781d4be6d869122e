package control

// slowStartMargin is the share of an overload that an endpoint in slow start is sent. The rest is a reserve
// for chance.
const slowStartMargin = 0.4

// warmUp is the state of an endpoint's slow start.
type warmUp struct {
	startedAt Time // latest start of the engine; 0 for long ago
}

// done reports whether the endpoint has its full capacity.
func (w warmUp) done(now Time, settings SlowStart) bool {
	return w.startedAt == 0 || now.Sub(w.startedAt) >= settings.Duration
}

// warmedUp reports whether an endpoint has its full capacity.
func (r *Router) warmedUp(e *endpoint) bool { return e.warmUp.done(r.now, r.settings.SlowStart) }

// slowStartShare returns the share of others' traffic that an endpoint in slow start may get. It is lower
// while its role rejects many attempts.
func (r *Router) slowStartShare(role Role) float64 {
	accepted := 1 - r.rejectionRates[role].Value
	return r.settings.SlowStart.InitialShare * r.settings.SlowStart.OverloadMultiple * slowStartMargin * accepted
}

// admittedInSlowStart reports whether a request may go to endpoints in slow start. Without this limit all
// routers together could overload an engine that has just started.
//
// The draw depends on the request and the router alone, and holds for its first attempt at a stage only. So
// all routers together send such an endpoint a share of what warmed-up ones get, however few requests each
// has. If all engines of a role have just started, few requests are taken.
func (r *Router) admittedInSlowStart(e *endpoint, request *request) bool {
	firstOfStage := request.attempts <= min(int(e.role), 1)
	draw := hashFraction(uint64(request.ID)^r.settings.Identity.Seed, EndpointID(e.role))
	return firstOfStage && draw < r.slowStartShare(e.role)
}
