package simwire

import "martenlock/control"

// actionCode identifies the type of the action in a record.
type actionCode uint8

const (
	actionNone               actionCode = 0 // body of a type that can't be encoded
	actionFail               actionCode = 1
	actionHealthCheck        actionCode = 2
	actionReject             actionCode = 3
	actionSubscribeEndpoints actionCode = 4
	actionForward            actionCode = 8
	actionInternalError      actionCode = 9
	actionReleaseKV          actionCode = 11
	actionCancelAttempt      actionCode = 12
	actionSetTimer           actionCode = 14
	actionLog                actionCode = 15
)

func actionCodeOf(body ActionBody) actionCode {
	switch body := body.(type) {
	case ModuleAction:
		return moduleActionCode(body.Action)
	case InternalError:
		return actionInternalError
	}
	return actionNone
}

func moduleActionCode(action control.Action) actionCode {
	switch action.(type) {
	case control.Fail:
		return actionFail
	case control.HealthCheck:
		return actionHealthCheck
	case control.Reject:
		return actionReject
	case control.SubscribeEndpoints:
		return actionSubscribeEndpoints
	case control.Forward:
		return actionForward
	case control.ReleaseKV:
		return actionReleaseKV
	case control.CancelAttempt:
		return actionCancelAttempt
	case control.SetTimer:
		return actionSetTimer
	case control.Log:
		return actionLog
	}
	return actionNone
}

func (a *Action) encodeOrDecode(c *codec) {
	code := actionCodeOf(a.Body)
	integer(c, &code)
	if c.err != nil {
		return
	}
	switch code {
	case actionFail:
		a.Body = moduleAction(c, a, failFields)
	case actionHealthCheck:
		a.Body = moduleAction(c, a, healthCheckFields)
	case actionReject:
		a.Body = moduleAction(c, a, rejectFields)
	case actionSubscribeEndpoints:
		a.Body = moduleAction(c, a, subscribeEndpointsFields)
	case actionForward:
		a.Body = moduleAction(c, a, forwardFields)
	case actionInternalError:
		a.Body = recordBody(c, &a.Router, a.Body, internalErrorFields)
	case actionReleaseKV:
		a.Body = moduleAction(c, a, releaseKVFields)
	case actionCancelAttempt:
		a.Body = moduleAction(c, a, cancelAttemptFields)
	case actionSetTimer:
		a.Body = moduleAction(c, a, setTimerFields)
	case actionLog:
		a.Body = moduleAction(c, a, logLine)
	default:
		c.fail(&UnknownValueError{Field: "action code", Value: uint64(code)})
	}
}

// moduleAction encodes or decodes the router and the fields of an action of the control package.
func moduleAction[T control.Action](c *codec, a *Action, fields func(*codec, *T)) ModuleAction {
	body, _ := a.Body.(ModuleAction) // empty when decoding
	return ModuleAction{recordBody(c, &a.Router, body.Action, fields)}
}

func failFields(c *codec, v *control.Fail) { integer(c, &v.ID) }

func healthCheckFields(c *codec, v *control.HealthCheck) { endpointID(c, &v.Endpoint) }

func rejectFields(c *codec, v *control.Reject) {
	integer(c, &v.ID)
	duration(c, &v.RetryAfter)
}

// subscribeEndpointsFields encodes or decodes the only field on the wire, which is true to subscribe and false
// to unsubscribe. The router never unsubscribes.
func subscribeEndpointsFields(c *codec, _ *control.SubscribeEndpoints) {
	isSubscribed := true
	boolean(c, &isSubscribed)
}

func forwardFields(c *codec, v *control.Forward) {
	integer(c, &v.ID)
	duration(c, &v.Timeout)
	endpointID(c, &v.Endpoint)
}

func internalErrorFields(c *codec, v *InternalError) { text(c, &v.Text) }

func releaseKVFields(c *codec, v *control.ReleaseKV) { integer(c, &v.ID) }

func cancelAttemptFields(c *codec, v *control.CancelAttempt) {
	integer(c, &v.ID)
	index[uint16](c, &v.Attempt)
}

func setTimerFields(c *codec, v *control.SetTimer) {
	integer(c, &v.Token)
	duration(c, &v.After)
}
