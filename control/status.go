package control

import "time"

// EndpointStatus is a router's view of an endpoint, for operators.
type EndpointStatus struct {
	State           EndpointState
	InFlight        int           // this router's attempts in flight
	Streaming       int           // attempts in flight whose answer has begun
	FailureRate     float64       // share of recent attempts that failed, from 0 to 1
	Ejected         bool          // gets only single attempts on probation
	RelativeLatency float64       // ratio of its lower times to its peers' mean; 0 for unknown
	RejectingFor    time.Duration // remaining pause after it rejected an attempt; 0 for none
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
