package control

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the data of the decision module and their mechanics. It chooses, orders and tunes nothing.

// Router decides for one instance. It is not safe for concurrent use.
type Router struct {
	settings     Settings
	rng          *rand.Rand
	now          Time     // of the events in hand
	actions      []Action // of this instant, in order
	timerStarted bool

	endpoints endpointTable
	sessions  map[uint64]*session
	requests  map[RequestID]*request
	queue     requestQueue // not yet released
	arrivals  []*request   // of this instant
	parked    []*request   // prefilled, and no decode engine takes them now

	traffic  trafficCounters
	latency  latencyEstimator
	capacity capacityView
	topology topology
	prefixes prefixPopularity

	lastSequence      uint64  // of the latest request
	healthCheckBudget float64 // health checks that may be sent
	expiredAt         Time    // latest expiry and decay
}

// New returns the router of one instance, which knows no endpoint yet.
func New(settings Settings, now Time) *Router {
	settings.Identity.Routers = max(settings.Identity.Routers, 1)
	settings.Limits.MaxAttempts = max(settings.Limits.MaxAttempts, 1)
	return &Router{
		settings:  settings,
		rng:       rand.New(rand.NewPCG(settings.Identity.Seed, settings.Identity.Seed>>32)),
		now:       now,
		expiredAt: now,
		endpoints: endpointTable{byID: map[EndpointID]*endpoint{}},
		sessions:  map[uint64]*session{},
		requests:  map[RequestID]*request{},
		prefixes:  prefixPopularity{requests: map[uint64]float64{}},
		latency:   latencyEstimator{answerSeconds: make([]ewma[float64], len(settings.Classes))},
	}
}

// attemptInFlight returns a request and the endpoint of its attempt, or nils where it has none in flight.
func (r *Router) attemptInFlight(id RequestID, target EndpointID) (*request, *endpoint) {
	found := r.requests[id]
	at := r.endpoints.byID[target]
	if found == nil || at == nil || !found.latest.inFlight {
		return nil, nil
	}
	return found, at
}

// do adds an action to those of this instant.
func (r *Router) do(action Action) { r.actions = append(r.actions, action) }

// request is one client request while its final answer is owed or an attempt is in flight.
type request struct {
	Request
	class   *Class
	session *session

	arrivedAt     Time
	firstTokenDue Time   // arrival plus the class's objective for the time to first token
	sequence      uint64 // in order of arrival
	heapIndex     int    // position in the queue; -1 outside it
	promoted      bool   // has waited so long that it goes first
	demand        Tokens // KV memory at a decode engine

	attempts        int
	maxAttempts     int
	connectionsLost int // attempts that ended with their connection: what crashes engines loses them all
	latest          attempt
	serviceTime     time.Duration
	hasFirstToken   bool // its answer streams to the client
	finished        bool // has its final answer; kept only while an attempt is in flight

	kvHolder       *endpoint // the prefill engine that retains the KV state; nil for none
	retention      kvRetention
	firstExecution execution
	excluded       []*endpoint // failed it before
}

// awaitsFirstToken tells that a client still waits for its answer to begin.
func (q *request) awaitsFirstToken() bool { return !q.hasFirstToken && !q.finished }

// attempt is the latest attempt of a request.
type attempt struct {
	inFlight        bool
	cancelRequested bool
	overtakenBy     int // requests sent to the same endpoint later and answered first
	sentAt          Time
	tokensToPrefill Tokens // of the prompt, to compute or to fetch, as far as is known
}

// execution is the earliest attempt that may have had the effect of its request.
type execution struct {
	endpoint *endpoint // nil for none
	sentAt   Time
}

// session is a row of the session table.
type session struct {
	serviceTime  time.Duration // accumulated over its requests
	waitTime     time.Duration // accumulated in the queue
	lastPrefill  *endpoint     // computed its latest prompt
	cachedTokens Tokens        // of that prompt
	seenAt       Time          // latest request
}

// openSession returns the row of a session. A request of no session leaves none.
func (r *Router) openSession(id uint64) *session {
	row := r.sessions[id]
	if row == nil {
		row = &session{}
	}
	if id != 0 {
		r.sessions[id] = row
	}
	row.seenAt = r.now
	return row
}

// endpoint is what this router knows of one engine.
type endpoint struct {
	Endpoint
	role         Role
	memoryTokens Tokens // KV memory by the settings; 0 for unknown

	attempts      []*request // our attempts in flight
	demand        Tokens     // KV memory that they need
	trafficShare  float64    // of all requests that it should take
	affinityScore float64    // for the prefix that is being placed

	relativeLatency     ewma[float64] // its better times over the mean of its role, or of the class of the answer
	failureRate         float64       // share of recent attempts that failed
	lastProgress        Time          // latest outcome or start of an answer
	nextProbation       Time          // while ejected, nothing is sent before
	rejectingUntil      Time          // it rejected an attempt: nothing is sent before
	slowStartSince      Time          // latest start; 0 for long ago
	healthCheckedAt     Time
	healthCheckInFlight bool
}

// addAttempt starts the next attempt of a request at an endpoint.
func (e *endpoint) addAttempt(request *request, next attempt) {
	request.attempts++
	request.latest = next
	e.attempts = append(e.attempts, request)
}

// removeAttempt ends the latest attempt of a request.
func (e *endpoint) removeAttempt(ended *request) {
	ended.latest.inFlight = false
	e.attempts = slices.DeleteFunc(e.attempts, func(other *request) bool { return other == ended })
}

// recordProgress notes that an endpoint has answered a request. Requests sent there earlier that have no
// answer may be lost with their connection while the endpoint lives: its silence does not show them.
func (e *endpoint) recordProgress(answered *request, now Time) {
	e.lastProgress = now
	for _, request := range e.attempts {
		if request.latest.sentAt < answered.latest.sentAt {
			request.latest.overtakenBy++
		}
	}
}

// endpointTable holds the endpoints that are listed or have an attempt in flight.
type endpointTable struct {
	byID  map[EndpointID]*endpoint
	all   []*endpoint // by id
	ready []*endpoint // those listed as ready, by id
}

// removeGone forgets the endpoints that are gone and have no attempt in flight, and puts the others in order.
func (t *endpointTable) removeGone() {
	slices.SortFunc(t.all, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	t.all = slices.DeleteFunc(t.all, func(e *endpoint) bool {
		gone := e.State == Gone && len(e.attempts) == 0
		if gone {
			delete(t.byID, e.ID)
		}
		return gone
	})
}

// trafficCounters describe the requests that this router sees.
type trafficCounters struct {
	meanDemand  ewma[Tokens]  // KV memory of a request
	releaseRate ewma[float64] // requests released from the queue a second
	released    float64       // since the latest decay
}

// latencyEstimator holds the times that attempts have taken.
type latencyEstimator struct {
	roles         [roleCount]roleStats
	answerSeconds []ewma[float64] // by class
}

// roleCount is the number of roles.
const roleCount = RoleColocated + 1

// roleStats are averages over all endpoints of one role.
type roleStats struct {
	secondsPerToken     ewma[secondsPerToken]
	bestSecondsPerToken ewma[secondsPerToken] // of the better times
	observedAt          Time                  // latest of these times
	relativeLatency     ewma[float64]         // time of its answers over the mean of their class
	rejectionRate       ewma[float64]         // share of recent attempts that were rejected
}

// capacityView is what is known of the memory of all decode and colocated engines together, in tokens.
type capacityView struct {
	memoryTokens     Tokens       // by the settings
	endpoints        float64      // number of these engines
	reportedFree     ewma[Tokens] // free memory of one of them, by load reports
	reportedAt       Time         // latest load report; 0 for never
	sentSinceReport  Tokens       // demand that reports do not show yet
	demand           Tokens       // of our attempts in flight
	prefillsInFlight float64      // our attempts at prefill engines
	releaseThreshold float64      // part of a request for which there must be capacity
}

// add counts the demand of an attempt that is sent, for attempts 1, or that has ended, for -1.
func (v *capacityView) add(target *endpoint, request *request, attempts float64) {
	if target.role == RolePrefill {
		v.prefillsInFlight += attempts
		return
	}
	target.demand += Tokens(attempts) * request.demand
	v.demand += Tokens(attempts) * request.demand
	v.sentSinceReport += Tokens(max(attempts, 0)) * request.demand
}

// loadReport is a load report by field.
type loadReport [ReportBacklog + 1]float64

// parseReport reads the values of a load report; false for one that is missing or too short.
func parseReport(fields []ReportField, values []float64) (report loadReport, ok bool) {
	if len(values) == 0 || len(values) < len(fields) {
		return report, false
	}
	for i, field := range fields {
		report[field] = values[i]
	}
	return report, true
}

// topology holds the shares of work by cell and by zone.
type topology struct {
	cells map[uint16]*stageShares
	zones map[uint16]*stageShares
}

// open makes sure that an endpoint's cell and zone have a row, also where a list has one cell in two zones,
// and returns that of its cell.
func (t *topology) open(e *endpoint) *stageShares {
	if t.cells[e.Cell] == nil {
		t.cells[e.Cell] = &stageShares{zone: e.Zone}
	}
	if t.zones[e.Zone] == nil {
		t.zones[e.Zone] = &stageShares{}
	}
	return t.cells[e.Cell]
}

// stageShares are the shares of all prefills and all answers that the endpoints of a cell take, or that the
// cells of a zone leave over.
type stageShares struct {
	prefill float64
	decode  float64
	zone    uint16 // of a cell
}

// prefixPopularity counts requests by prefix; the counts decay.
type prefixPopularity struct {
	requests map[uint64]float64
	total    float64 // with those of no prefix
}

// observe counts a request of a prefix; 0 for none.
func (p *prefixPopularity) observe(prefix uint64) {
	p.total++
	if prefix != 0 {
		p.requests[prefix]++
	}
}

// decay leaves a share of each count, and drops the prefixes with a count below least.
func (p *prefixPopularity) decay(share, least float64) {
	p.total *= share
	for prefix := range p.requests {
		p.requests[prefix] *= share
		if p.requests[prefix] < least {
			delete(p.requests, prefix)
		}
	}
}

// scopeChoice sorts the endpoints that can take a KV state into scopes by their distance from its holder.
type scopeChoice struct {
	router   *Router
	origin   *endpoint
	cellDraw float64 // decides whether the state may stay in its cell, from 0 to 1
	zoneDraw float64 // decides whether it may stay in its zone
	scopes   [4][]*endpoint
}

// requestQueue is the heap of requests that are not yet released; servedBefore orders it.
type requestQueue []*request

// Len is the number of requests.
func (q requestQueue) Len() int { return len(q) }

// Less compares two positions.
func (q requestQueue) Less(i, j int) bool { return servedBefore(q[i], q[j]) }

// Swap exchanges two positions.
func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push appends a request; heap.Push moves it up.
func (q *requestQueue) Push(x any) {
	added := x.(*request)
	added.heapIndex = len(*q)
	*q = append(*q, added)
}

// Pop removes the last request, where heap.Pop has put the first.
func (q *requestQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	removed.heapIndex = -1
	return removed
}
