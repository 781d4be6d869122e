package simwire

import "martenlock/control"

// actionCode is the number by which a record says which action it holds.
type actionCode uint8

// The codes of actions.
const (
	actionNone               actionCode = 0 // of a body that has no code
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

// actionCodeOf returns the code of an action's body.
func actionCodeOf(body ActionBody) actionCode {
	switch body := body.(type) {
	case ModuleAction:
		return moduleActionCode(body.Action)
	case InternalError:
		return actionInternalError
	}
	return actionNone
}

// moduleActionCode returns the code of an action of the control package.
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

// code codes an action.
func (a *Action) code(c *coder) {
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
		a.Body = record(c, &a.Router, a.Body, internalErrorFields)
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

// moduleAction codes the record of an action of the control package.
func moduleAction[T control.Action](c *coder, a *Action, fields func(*coder, *T)) ModuleAction {
	body, _ := a.Body.(ModuleAction) // none when reading
	return ModuleAction{record(c, &a.Router, body.Action, fields)}
}

// failFields codes the fields of a request's failure.
func failFields(c *coder, v *control.Fail) { integer(c, &v.ID) }

// healthCheckFields codes the fields of a health check.
func healthCheckFields(c *coder, v *control.HealthCheck) { endpointID(c, &v.Endpoint) }

// rejectFields codes the fields of a request's rejection.
func rejectFields(c *coder, v *control.Reject) {
	integer(c, &v.ID)
	duration(c, &v.RetryAfter)
}

// subscribeEndpointsFields codes that the endpoint list is requested. On the wire it could also be cancelled.
func subscribeEndpointsFields(c *coder, _ *control.SubscribeEndpoints) {
	isSubscribed := true
	boolean(c, &isSubscribed)
}

// forwardFields codes the fields of an attempt.
func forwardFields(c *coder, v *control.Forward) {
	integer(c, &v.ID)
	duration(c, &v.Timeout)
	endpointID(c, &v.Endpoint)
}

// internalErrorFields codes the fields of an InternalError.
func internalErrorFields(c *coder, v *InternalError) { text(c, &v.Text) }

// releaseKVFields codes the fields of a KV state's release.
func releaseKVFields(c *coder, v *control.ReleaseKV) { integer(c, &v.ID) }

// cancelAttemptFields codes the fields of an attempt's cancellation.
func cancelAttemptFields(c *coder, v *control.CancelAttempt) {
	integer(c, &v.ID)
	index[uint16](c, &v.Attempt)
}

// setTimerFields codes the fields of a timer.
func setTimerFields(c *coder, v *control.SetTimer) {
	integer(c, &v.Token)
	duration(c, &v.After)
}
