package simwire

import "martenlock/control"

// eventCode is the number by which a record says which event it holds.
type eventCode uint8

// The codes of events.
const (
	eventNone               eventCode = 0 // of a body that has no code
	eventStart              eventCode = 1
	eventEndpointListUpdate eventCode = 2
	eventRequest            eventCode = 3
	eventAnswerStarted      eventCode = 4
	eventOutcome            eventCode = 5
	eventClientGone         eventCode = 6
	eventTimer              eventCode = 7
	eventHealthCheckResult  eventCode = 8
	eventPeer               eventCode = 9
	eventStop               eventCode = 10
	eventReservationResult  eventCode = 11
	eventEndpointTable      eventCode = 12
)

// eventCodeOf returns the code of an event's body.
func eventCodeOf(body EventBody) eventCode {
	switch body := body.(type) {
	case ModuleEvent:
		return moduleEventCode(body.Event)
	case Start:
		return eventStart
	case Stop:
		return eventStop
	case EndpointTable:
		return eventEndpointTable
	case EndpointListUpdate:
		return eventEndpointListUpdate
	case Peer:
		return eventPeer
	}
	return eventNone
}

// moduleEventCode returns the code of an event of the control package.
func moduleEventCode(event control.Event) eventCode {
	switch event.(type) {
	case control.Request:
		return eventRequest
	case control.AnswerStarted:
		return eventAnswerStarted
	case control.Outcome:
		return eventOutcome
	case control.ClientGone:
		return eventClientGone
	case control.Timer:
		return eventTimer
	case control.HealthCheckResult:
		return eventHealthCheckResult
	case control.ReservationResult:
		return eventReservationResult
	}
	return eventNone
}

// code codes an event.
func (e *Event) code(c *coder) {
	code := eventCodeOf(e.Body)
	integer(c, &code)
	if c.err != nil {
		return
	}
	switch code {
	case eventStart:
		e.Body = record(c, &e.Router, e.Body, startFields)
	case eventEndpointListUpdate:
		e.Body = record(c, &e.Router, e.Body, endpointListUpdateFields)
	case eventRequest:
		e.Body = moduleEvent(c, e, requestFields)
	case eventAnswerStarted:
		e.Body = moduleEvent(c, e, answerStartedFields)
	case eventOutcome:
		e.Body = moduleEvent(c, e, outcomeFields)
	case eventClientGone:
		e.Body = moduleEvent(c, e, clientGoneFields)
	case eventTimer:
		e.Body = moduleEvent(c, e, timerFields)
	case eventHealthCheckResult:
		e.Body = moduleEvent(c, e, healthCheckResultFields)
	case eventPeer:
		e.Body = record(c, &e.Router, e.Body, peerFields)
	case eventStop:
		e.Body = record(c, &e.Router, e.Body, stopFields)
	case eventReservationResult:
		e.Body = moduleEvent(c, e, reservationResultFields)
	case eventEndpointTable:
		e.Body = endpointTable(c, e.Body)
	default:
		c.fail(&UnknownValueError{Field: "event code", Value: uint64(code)})
	}
}

// moduleEvent codes the record of an event of the control package.
func moduleEvent[T control.Event](c *coder, e *Event, fields func(*coder, *T)) ModuleEvent {
	body, _ := e.Body.(ModuleEvent) // none when reading
	return ModuleEvent{record(c, &e.Router, body.Event, fields)}
}
