package simwire

import "martenlock/control"

// portBits is the width of the port at the end of an endpoint's id.
const portBits = 16

// endpointID encodes or decodes an engine's address: four bytes of IPv4 address and two of port.
func endpointID(c *codec, value *control.EndpointID) {
	host := uint32(*value >> portBits)
	port := uint16(*value)
	integer(c, &host)
	integer(c, &port)
	*value = control.EndpointID(host)<<portBits | control.EndpointID(port)
}

// statusCode is the code of a result on the wire. Most are codes of gRPC statuses with a similar meaning.
type statusCode uint8

// statusResults maps the codes on the wire to the results of the control package.
var statusResults = [...]struct {
	status statusCode
	result control.Result
}{
	{0, control.OK},
	{77, control.PrefillDone},   // not a gRPC status
	{13, control.Failed},        // INTERNAL
	{8, control.Rejected},       // RESOURCE_EXHAUSTED
	{4, control.TimedOut},       // DEADLINE_EXCEEDED
	{14, control.ConnectFailed}, // UNAVAILABLE
	{10, control.Reset},         // ABORTED
	{1, control.Cancelled},      // CANCELLED
	{9, control.NotSent},        // FAILED_PRECONDITION
}

// result encodes or decodes the result of an attempt or of a health check.
func result(c *codec, value *control.Result) {
	var status statusCode
	for _, entry := range statusResults {
		if c.isEncoding && entry.result == *value {
			status = entry.status
		}
	}
	integer(c, &status)
	for _, entry := range statusResults {
		if entry.status == status {
			*value = entry.result
			return
		}
	}
	c.fail(&UnknownValueError{Field: "status", Value: uint64(status)})
}

// endpoint encodes or decodes one endpoint of an EndpointTable.
func endpoint(c *codec, value *control.Endpoint) {
	integerAs[uint8](c, &value.State)
	endpointID(c, &value.ID)
	index[uint16](c, &value.Kind)
	integer(c, &value.Cell)
	float(c, &value.Weight)
	integerAs[uint8](c, &value.Zone)
	integer(c, &value.StartedAt)
	if value.State > control.Draining {
		c.fail(&UnknownValueError{Field: "endpoint state", Value: uint64(value.State)})
	}
}
