package simwire

import "martenlock/control"

func startFields(c *codec, v *Start) {
	integer(c, &v.Seed)
	byteString[uint32](c, &v.Settings)
}

func endpointListUpdateFields(c *codec, v *EndpointListUpdate) {
	integer(c, &v.Version)
	integer(c, &v.Table)
	integer(c, &v.Scope)
	if v.Scope > ScopeFailed {
		c.fail(&UnknownValueError{Field: "scope of an endpoint list", Value: uint64(v.Scope)})
	}
}

// resumedFlag is the bit of a request that resumes a truncated stream.
const resumedFlag = 16

func requestFields(c *codec, v *control.Request) {
	var sizeHint uint32 // not used by the control package
	var flags uint8
	if v.Resumed {
		flags = resumedFlag
	}
	integer(c, &v.ID)
	index[uint8](c, &v.Class)
	index[uint16](c, &v.Tenant)
	integer(c, &sizeHint)
	float(c, &v.PrefixTokens)
	float(c, &v.MaxTokens)
	integer(c, &v.PrefixHash)
	integer(c, &v.SessionID)
	integer(c, &v.Deadline)
	integer(c, &flags)
	float(c, &v.PromptTokens)
	v.Resumed = flags&resumedFlag != 0
}

func answerStartedFields(c *codec, v *control.AnswerStarted) {
	integer(c, &v.ID)
	duration(c, &v.Elapsed)
	endpointID(c, &v.Endpoint)
	index[uint16](c, &v.Attempt)
}

func outcomeFields(c *codec, v *control.Outcome) {
	integer(c, &v.ID)
	index[uint16](c, &v.Attempt)
	endpointID(c, &v.Endpoint)
	result(c, &v.Result)
	duration(c, &v.Elapsed)
	boolean(c, &v.Final)
	outcomeDetail(c, v)
	floats(c, &v.Report)
}

// detailKVMissing is the detail of a rejection by an endpoint that could not fetch the KV state.
const detailKVMissing = 1

// outcomeDetail encodes or decodes a number with two meanings: on a rejection it may be detailKVMissing;
// otherwise it is the number of cached tokens of the prompt.
func outcomeDetail(c *codec, v *control.Outcome) {
	detail := v.CachedTokens
	if v.KVMissing {
		detail = detailKVMissing
	}
	integer(c, &detail)
	v.KVMissing = v.Result == control.Rejected && detail == detailKVMissing
	v.CachedTokens = detail
	if v.KVMissing {
		v.CachedTokens = 0
	}
}

func clientGoneFields(c *codec, v *control.ClientGone) { integer(c, &v.ID) }

func timerFields(c *codec, v *control.Timer) { integer(c, &v.Token) }

func healthCheckResultFields(c *codec, v *control.HealthCheckResult) {
	endpointID(c, &v.Endpoint)
	result(c, &v.Result)
	duration(c, &v.Elapsed)
	floats(c, &v.Report)
}

func peerFields(c *codec, v *Peer) {
	integer(c, &v.From)
	byteString[uint16](c, &v.Data)
}

// stopFields does nothing: a Stop has no fields.
func stopFields(*codec, *Stop) {}

// The results of a reservation on the wire.
const (
	reservationHeld    uint8 = 1
	reservationRefused uint8 = 2
)

func reservationResultFields(c *codec, v *control.ReservationResult) {
	status := reservationRefused
	if v.Held {
		status = reservationHeld
	}
	value := 0.0 // not used by the control package
	integer(c, &v.ID)
	index[uint16](c, &v.Attempt)
	endpointID(c, &v.Endpoint)
	integer(c, &status)
	float(c, &value)
	v.Held = status == reservationHeld
}

// endpointTableBody encodes or decodes an EndpointTable. Its record has no router.
func endpointTableBody(c *codec, body EventBody) EndpointTable {
	table, _ := body.(EndpointTable) // empty when decoding
	length := uint32(len(table.Endpoints))
	integer(c, &table.Number)
	integer(c, &length)
	for i := 0; i < int(length) && c.err == nil; i++ {
		if !c.isEncoding {
			table.Endpoints = append(table.Endpoints, control.Endpoint{})
		}
		endpoint(c, &table.Endpoints[i])
	}
	return table
}
