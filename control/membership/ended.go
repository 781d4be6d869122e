package membership

import "martenlock/control"

// endedEndpoints remembers the endpoints that were removed from the view, for EndedRetention. It holds at
// most MaxEndpoints. The zero value is empty and ready for use.
type endedEndpoints struct {
	ends  map[control.EndpointID]endRecord
	order []control.EndpointID // in the order of their ends; may include endpoints that have started again
}

// endRecord is the end of an endpoint.
type endRecord struct {
	startedAt  control.Time // start of the endpoint that has ended
	recordedAt control.Time
}

// startOf returns the start time of an endpoint that has ended. It returns false if no end is recorded.
func (e *endedEndpoints) startOf(id control.EndpointID) (startedAt control.Time, ok bool) {
	end, ok := e.ends[id]
	return end.startedAt, ok
}

// record records the end of an endpoint. It ignores the zero Endpoint, which was never in the view, and all
// ends beyond MaxEndpoints.
func (e *endedEndpoints) record(now control.Time, endpoint Endpoint) {
	if e.ends == nil {
		e.ends = map[control.EndpointID]endRecord{}
	}
	if endpoint.ID == 0 || len(e.order) >= MaxEndpoints {
		return
	}
	e.ends[endpoint.ID] = endRecord{startedAt: endpoint.StartedAt, recordedAt: now}
	e.order = append(e.order, endpoint.ID)
}

// forget removes the end of an endpoint that has started again.
func (e *endedEndpoints) forget(id control.EndpointID) { delete(e.ends, id) }

// expire removes the ends that were recorded more than EndedRetention ago.
func (e *endedEndpoints) expire(now control.Time) {
	for len(e.order) > 0 {
		oldest := e.order[0]
		if now.Sub(e.ends[oldest].recordedAt) <= EndedRetention {
			return
		}
		delete(e.ends, oldest)
		e.order = e.order[1:]
	}
}
