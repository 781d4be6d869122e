// Package control decides, for one router, where the prompts and answers of a
// model service go: which request is released when, which reader reads its
// prompt, which writer streams its answer, and what happens when either fails.
//
// The package does no I/O and reads no clock. A caller hands events and the
// present time to Router.Handle and carries out the actions that come back.
package control

import "time"

// Time is a point on the caller's clock, in microseconds from any origin.
type Time uint64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return Time(int64(t) + d.Microseconds()) }

// Sub returns the span from u to t; it is negative where u is later.
func (t Time) Sub(u Time) time.Duration { return time.Duration(int64(t)-int64(u)) * time.Microsecond }

// RequestID names one request at this router; ids are never used twice.
type RequestID uint32

// ServerID names one model server. It stays the same over restarts.
type ServerID uint64

// Role says which of the two stages a server takes part in.
type Role uint8

// The roles of servers.
const (
	Reader Role = iota // reads prompts
	Writer             // writes answers
	Mixed              // does both
)

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // servers of one scope drop repeats for a while
	Unsafe               // must never run twice
)

// Scope is the group of servers that drops the repeats of a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of request.
type Class struct {
	Aim        time.Duration // first token wanted within this
	AimPer1000 time.Duration // added to Aim for each 1,000 prompt tokens
	Deadline   time.Duration // the client's patience over all its tries
	TokenAim   time.Duration // wanted mean time between tokens
	Worth      float64       // of one request, or one unit of work
	LateWorth  float64       // share of Worth earned after the aim
	Effect     Effect
	Scope      Scope         // for Keyed
	Window     time.Duration // for Keyed: how long repeats are dropped
	Attempts   int           // most of one request, where below Settings.MaxAttempts; 0 for that
}

// Tenant is one customer of the service.
type Tenant struct {
	Allowance float64 // requests a second, over all routers, within its share
	Share     float64 // of the service
}

// Field is one value of a load report.
type Field uint8

// The fields of load reports that the module knows; others are FieldOther.
const (
	FieldOther    Field = iota
	FieldInFlight       // requests held
	FieldQueue          // requests waiting
	FieldUtil           // share of slots in use
	FieldMemory         // share of memory held
	FieldBacklog        // thousands of prompt tokens to read or fetch
)

// Settings is what a router is told once, at its start.
type Settings struct {
	Seed       uint64
	Routers    int    // routers of the service, this one included
	Rank       int    // this router's number among them
	Zone       uint16 // this router's zone
	Classes    []Class
	Tenants    []Tenant
	KindRole   []Role    // by server kind
	KindMemory []float64 // memory in tokens, by server kind; 0 for unknown
	Fields     []Field   // of a load report, in order
	MayProbe   bool      // Probe is allowed
	MayCancel  bool      // Cancel is allowed
	AskFleet   bool      // the list of servers must be asked for
	WritersToo bool      // a writer reads a prompt that has no state

	MaxAttempts    int
	MaxRetryAfter  time.Duration // longest wait a client honours when told; 0 where none is told
	ConnectTimeout time.Duration
	PinLimit       time.Duration // held state is used or let go within this
	DrainGrace     time.Duration
	AnswerGrace    time.Duration // slack past the client's deadline
	ColdFrom       float64       // a server starts at this share of its capacity
	ColdFor        time.Duration // and is warm after this
	FallMultiple   float64       // a cold server sent so much more than it can do
	FallAfter      time.Duration // for so long falls over
}

// Event is something that happened to a router: Request, Started, Outcome,
// ClientGone, Timer, ProbeResult, PlaceResult, Fleet or FleetFailed.
type Event interface{ event() }

// Request is a client's request; exactly one final answer is owed for it.
type Request struct {
	ID        RequestID
	Class     int
	Tenant    int
	Session   uint64
	Prefix    uint64 // shared beginning of the prompt; 0 for none
	PrefixLen float64
	PromptLen float64 // tokens
	MaxTokens float64 // longest answer
	Deadline  Time    // the client leaves then
	Resumed   bool    // a broken stream that comes back
	Tried     int     // attempts that it had as one of a joined call; its class allows so many fewer
	Lost      int     // and how many of them ended with their connection
}

// Started tells that an answer has begun; the attempt now belongs to the client.
type Started struct {
	ID      RequestID
	Server  ServerID
	Attempt int
	Took    time.Duration
}

// Attempt is the number of one send of a request, counted from 0.
type Attempt = int

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	OK            Result = iota // answered
	ReadDone                    // prompt read; the state waits at the reader
	Failed                      // error from the server; it may have run
	Full                        // turned away, or no state to fetch
	TimedOut                    // no answer in time; it may run yet
	ConnectFailed               // never got through
	Reset                       // connection lost; it may have run
	Cancelled                   // withdrawn; it may have run
	Moot                        // not sent
)

// Outcome ends an attempt. Final tells that the request itself has ended.
type Outcome struct {
	ID      RequestID
	Attempt Attempt
	Server  ServerID
	Result  Result
	Took    time.Duration
	Final   bool
	Note    uint32 // tokens found kept, or 1 on Full: there was no state
	Kept    bool   // lost with a connection that had rested: that says little of the server
	Report  []float64
}

// ClientGone tells that the client has left; nothing more is owed.
type ClientGone struct{ ID RequestID }

// Timer is a timer that has run out.
type Timer struct{ Token uint64 }

// ProbeResult answers a Probe.
type ProbeResult struct {
	Server ServerID
	Result Result
	Took   time.Duration
	Report []float64
}

// PlaceResult answers a place asked for ahead; this module asks for none.
type PlaceResult struct {
	ID      RequestID
	Attempt Attempt
	Server  ServerID
	Held    bool
}

// State is what the fleet list says of a server.
type State uint8

// The states of a listed server.
const (
	Gone State = iota
	Ready
	Draining
)

// Server is one entry of the fleet list.
type Server struct {
	ID     ServerID
	State  State
	Kind   int
	Cell   uint16
	Zone   uint16
	Weight float64
	Since  Time // last start; 0 for long ago
}

// Fleet brings changes of the list of servers, or all of it.
type Fleet struct {
	Servers []Server
	Full    bool // a server that is not listed is gone
}

// FleetFailed tells that asking for the list failed or its stream broke.
type FleetFailed struct{}

func (Request) event()     {}
func (Started) event()     {}
func (Outcome) event()     {}
func (ClientGone) event()  {}
func (Timer) event()       {}
func (ProbeResult) event() {}
func (PlaceResult) event() {}
func (Fleet) event()       {}
func (FleetFailed) event() {}

// Action is something that a router wants done: Send, Refuse, Fail, Release,
// Cancel, SetTimer, Probe, WatchFleet or Log.
type Action interface{ action() }

// Send starts the next attempt of a request.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration
	Leave   time.Duration // what has not left whole by then is ConnectFailed; 0 for no other bound than Timeout
}

// Refuse is the final answer that says a retry is harmless.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration // 0 says nothing
}

// Fail is the final answer that promises nothing.
type Fail struct{ ID RequestID }

// Release lets go of every state held for a request.
type Release struct{ ID RequestID }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      RequestID
	Attempt Attempt
}

// SetTimer asks for a Timer event after a while.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// Probe asks a server how it is.
type Probe struct{ Server ServerID }

// WatchFleet subscribes to the fleet list.
type WatchFleet struct{}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()       {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (Release) action()    {}
func (Cancel) action()     {}
func (SetTimer) action()   {}
func (Probe) action()      {}
func (WatchFleet) action() {}
func (Log) action()        {}
