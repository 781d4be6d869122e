package control

// slowStartMargin is the sent share of what would overload a new endpoint: the rest is for chance.
const slowStartMargin = 0.4

// warmedUp tells that an endpoint does its full work.
func (r *Router) warmedUp(e *endpoint) bool {
	return e.slowStartSince == 0 || r.now.Sub(e.slowStartSince) >= r.settings.SlowStart.Duration
}

// slowStartShare is what an endpoint in slow start may be sent of what others take: less where many attempts
// are rejected.
func (r *Router) slowStartShare(role Role) float64 {
	accepted := 1 - r.latency.roles[role].rejectionRate.value
	return r.settings.SlowStart.InitialShare * r.settings.SlowStart.OverloadMultiple * slowStartMargin * accepted
}

// admittedInSlowStart tells whether a request may go to endpoints in slow start at all. The danger is one
// that has just started and is overloaded. Chance decides, for the request's first attempt at a stage alone:
// so all routers together send it a share of what its warm peers are sent, however few requests each has. It
// hurts where all of a role has just started: then few requests are taken.
func (r *Router) admittedInSlowStart(e *endpoint, request *request) bool {
	firstOfStage := request.attempts <= min(int(e.role), 1)
	draw := hashFraction(uint64(request.ID)^r.settings.Identity.Seed, EndpointID(e.role))
	return firstOfStage && draw < r.slowStartShare(e.role)
}
