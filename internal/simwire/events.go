package simwire

import "martenlock/control"

// eventCode identifies the type of the event in a record.
type eventCode uint8

const (
	eventNone               eventCode = 0 // body of a type that can't be encoded
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

func (e *Event) encodeOrDecode(c *codec) {
	code := eventCodeOf(e.Body)
	integer(c, &code)
	if c.err != nil {
		return
	}
	switch code {
	case eventStart:
		e.Body = recordBody(c, &e.Router, e.Body, startFields)
	case eventEndpointListUpdate:
		e.Body = recordBody(c, &e.Router, e.Body, endpointListUpdateFields)
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
		e.Body = recordBody(c, &e.Router, e.Body, peerFields)
	case eventStop:
		e.Body = recordBody(c, &e.Router, e.Body, stopFields)
	case eventReservationResult:
		e.Body = moduleEvent(c, e, reservationResultFields)
	case eventEndpointTable:
		e.Body = endpointTableBody(c, e.Body)
	default:
		c.fail(&UnknownValueError{Field: "event code", Value: uint64(code)})
	}
}

// moduleEvent encodes or decodes the router and the fields of an event of the control package.
func moduleEvent[T control.Event](c *codec, e *Event, fields func(*codec, *T)) ModuleEvent {
	body, _ := e.Body.(ModuleEvent) // empty when decoding
	return ModuleEvent{recordBody(c, &e.Router, body.Event, fields)}
}
