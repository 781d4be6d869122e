// Package simwire is the codec of the simulator's protocol: little-endian frames of records, decoded
// into the control package's events and encoded from its actions. It makes no decisions. Each layout
// is written once, for encoding and decoding.
package simwire

import "martenlock/control"

// Batch is a frame of events.
type Batch struct {
	Clock   control.Time
	Number  uint32
	Records []Event
}

// Reply is the frame of actions that answers a batch.
type Reply struct {
	Number  uint32
	Records []Action
}

// Event is one record of a batch.
type Event struct {
	Router uint16 // the instance; 0 for an EndpointTable, which belongs to none
	Body   EventBody
}

// EventBody is the content of an Event: a ModuleEvent, Start, Stop, EndpointTable, EndpointListUpdate or
// Peer.
type EventBody interface{ eventBody() }

// ModuleEvent is an event of the control package.
type ModuleEvent struct{ Event control.Event }

// Start starts an instance, with no state from an earlier one.
type Start struct {
	Seed     uint64
	Settings []byte // in the form that package platformsettings parses
}

// Stop reports that an instance was killed.
type Stop struct{}

// EndpointTable is a numbered list of endpoints for all instances of the process.
type EndpointTable struct {
	Number    uint16
	Endpoints []control.Endpoint
}

// EndpointListUpdate tells an instance to read an EndpointTable, or that a request for one has failed.
type EndpointListUpdate struct {
	Version uint64
	Table   uint16
	Scope   Scope
}

// Peer is a message from another instance. Instances of this project send none.
type Peer struct {
	From uint32
	Data []byte
}

func (ModuleEvent) eventBody()        {}
func (Start) eventBody()              {}
func (Stop) eventBody()               {}
func (EndpointTable) eventBody()      {}
func (EndpointListUpdate) eventBody() {}
func (Peer) eventBody()               {}

// Action is one record of a reply.
type Action struct {
	Router uint16 // the instance
	Body   ActionBody
}

// ActionBody is the content of an Action: a ModuleAction or an InternalError.
type ActionBody interface{ actionBody() }

// ModuleAction is an action of the control package.
type ModuleAction struct{ Action control.Action }

// InternalError reports that the control package has panicked. Text is the value of the panic.
type InternalError struct{ Text string }

func (ModuleAction) actionBody()  {}
func (InternalError) actionBody() {}

//go:generate go tool stringer -linecomment -type=Scope -output=enum_string.go

// Scope says what the EndpointTable of an EndpointListUpdate contains.
type Scope uint8

const (
	// ScopeDelta is a table of the endpoints that have changed.
	ScopeDelta Scope = iota // delta
	// ScopeFull is a table of all endpoints.
	ScopeFull // full
	// ScopeCached is a table of all endpoints from a cache.
	ScopeCached // cached
	// ScopeFailed means that the request for a table failed. There is no table.
	ScopeFailed // failed
)
