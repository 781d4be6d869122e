package control

import "time"

// EndpointStatus is what a router knows of an endpoint, for operators to compare with its traffic.
type EndpointStatus struct {
	State           EndpointState
	InFlight        int           // our attempts there
	Streaming       int           // those of them whose answer has begun
	FailureRate     float64       // share of recent attempts that failed, from 0 to 1
	Ejected         bool          // gets nothing but single attempts on probation
	RelativeLatency float64       // its better times over the mean of its role; 0 for unknown
	RejectingFor    time.Duration // for which it gets nothing more, since it rejected an attempt
	SlowStart       bool          // started recently and not warmed up
}

// EndpointStatus returns the status of an endpoint. It returns false if the endpoint is unknown.
func (r *Router) EndpointStatus(id EndpointID) (status EndpointStatus, ok bool) {
	e := r.endpoints.byID[id]
	if e == nil {
		return EndpointStatus{}, false
	}
	status = EndpointStatus{
		State:           e.State,
		InFlight:        len(e.load.attempts),
		FailureRate:     e.health.failureRate,
		Ejected:         e.health.ejected(),
		RelativeLatency: e.health.relativeLatency.Value,
		RejectingFor:    max(e.health.rejectingUntil.Sub(r.now), 0),
		SlowStart:       !r.warmedUp(e),
	}
	for _, request := range e.load.attempts {
		if request.hasFirstToken {
			status.Streaming++
		}
	}
	return status, true
}
