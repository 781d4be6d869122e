package simwire

import "martenlock/control"

// startFields codes the fields of a Start.
func startFields(c *coder, v *Start) {
	integer(c, &v.Seed)
	byteString[uint32](c, &v.Settings)
}

// endpointListUpdateFields codes the fields of an EndpointListUpdate.
func endpointListUpdateFields(c *coder, v *EndpointListUpdate) {
	integer(c, &v.Version)
	integer(c, &v.Table)
	integer(c, &v.Scope)
	if v.Scope > ScopeFailed {
		c.fail(&UnknownValueError{Field: "scope of an endpoint list", Value: uint64(v.Scope)})
	}
}

// bitResumed marks a request that resumes an interrupted stream.
const bitResumed = 16

// requestFields codes the fields of a request.
func requestFields(c *coder, v *control.Request) {
	var hint uint32 // not used by the module
	var bits uint8
	if v.Resumed {
		bits = bitResumed
	}
	integer(c, &v.ID)
	index[uint8](c, &v.Class)
	index[uint16](c, &v.Tenant)
	integer(c, &hint)
	float(c, &v.PrefixTokens)
	float(c, &v.MaxTokens)
	integer(c, &v.PrefixHash)
	integer(c, &v.SessionID)
	integer(c, &v.Deadline)
	integer(c, &bits)
	float(c, &v.PromptTokens)
	v.Resumed = bits&bitResumed != 0
}

// answerStartedFields codes the fields of an answer's start.
func answerStartedFields(c *coder, v *control.AnswerStarted) {
	integer(c, &v.ID)
	duration(c, &v.Elapsed)
	endpointID(c, &v.Endpoint)
	index[uint16](c, &v.Attempt)
}

// outcomeFields codes the fields of an attempt's outcome.
func outcomeFields(c *coder, v *control.Outcome) {
	integer(c, &v.ID)
	index[uint16](c, &v.Attempt)
	endpointID(c, &v.Endpoint)
	result(c, &v.Result)
	duration(c, &v.Elapsed)
	boolean(c, &v.Final)
	outcomeDetail(c, v)
	floats(c, &v.Report)
}

// detailKVMissing is the detail of a rejection whose endpoint could not fetch the KV state.
const detailKVMissing = 1

// outcomeDetail codes a number with two meanings: detailKVMissing on a rejection, otherwise the cached
// tokens of the prompt.
func outcomeDetail(c *coder, v *control.Outcome) {
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

// clientGoneFields codes the fields of a client's disconnection.
func clientGoneFields(c *coder, v *control.ClientGone) { integer(c, &v.ID) }

// timerFields codes the fields of an expired timer.
func timerFields(c *coder, v *control.Timer) { integer(c, &v.Token) }

// healthCheckResultFields codes the fields of a health check's result.
func healthCheckResultFields(c *coder, v *control.HealthCheckResult) {
	endpointID(c, &v.Endpoint)
	result(c, &v.Result)
	duration(c, &v.Elapsed)
	floats(c, &v.Report)
}

// peerFields codes the fields of a Peer.
func peerFields(c *coder, v *Peer) {
	integer(c, &v.From)
	byteString[uint16](c, &v.Data)
}

// stopFields codes the fields of a Stop, which has none.
func stopFields(*coder, *Stop) {}

// The results of a reservation on the wire.
const (
	reservationHeld    uint8 = 1
	reservationRefused uint8 = 2
)

// reservationResultFields codes the fields of a reservation's result.
func reservationResultFields(c *coder, v *control.ReservationResult) {
	answer := reservationRefused
	if v.Held {
		answer = reservationHeld
	}
	value := 0.0 // not used by the module
	integer(c, &v.ID)
	index[uint16](c, &v.Attempt)
	endpointID(c, &v.Endpoint)
	integer(c, &answer)
	float(c, &value)
	v.Held = answer == reservationHeld
}

// endpointTable codes an EndpointTable. Its record has no router.
func endpointTable(c *coder, body EventBody) EndpointTable {
	table, _ := body.(EndpointTable) // none when reading
	length := uint32(len(table.Endpoints))
	integer(c, &table.Number)
	integer(c, &length)
	for i := 0; i < int(length) && c.err == nil; i++ {
		if !c.isWriting {
			table.Endpoints = append(table.Endpoints, control.Endpoint{})
		}
		endpoint(c, &table.Endpoints[i])
	}
	return table
}
