package admission

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martenlock/control"
	_ "martenlock/internal/proptest"
)

const second = time.Second

// at returns the time at which elapsed has passed since the start of a test.
func at(elapsed time.Duration) control.Time { return control.Time(1e12).Add(elapsed) }

func unitsOf(count int, tokens float64) []float64 { return slices.Repeat([]float64{tokens}, count) }

// simulation simulates endpoints behind a queue. Each endpoint serves one unit after another.
type simulation struct {
	queue           *Queue
	now             time.Duration
	tokensPerSecond float64         // of one endpoint
	freeAt          []time.Duration // by endpoint
	outstanding     []runningUnit
	admitted        []Unit
	rejected        []RequestID
	mostOutstanding int
}

type runningUnit struct {
	unit  Unit
	endAt time.Duration
}

func newSimulation(endpoints int, tokensPerSecond float64, settings Settings) *simulation {
	s := &simulation{
		queue:           NewQueue(settings),
		tokensPerSecond: tokensPerSecond,
		freeAt:          make([]time.Duration, endpoints),
	}
	s.queue.SetReadyEndpoints(endpoints)
	return s
}

// run advances the simulation until the given time, in steps of 5 ms.
func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += 5 * time.Millisecond {
		s.completeUnits()
		result := s.queue.Poll(at(s.now))
		for _, rejection := range result.Rejected {
			s.rejected = append(s.rejected, rejection.Request)
		}
		for _, unit := range result.Admitted {
			s.start(unit)
		}
		s.mostOutstanding = max(s.mostOutstanding, len(s.outstanding))
	}
}

// completeUnits ends the units that have been served.
func (s *simulation) completeUnits() {
	remaining := s.outstanding[:0]
	for _, running := range s.outstanding {
		if running.endAt > s.now {
			remaining = append(remaining, running)
		} else {
			s.queue.Complete(at(s.now), running.unit, UnitServed)
		}
	}
	s.outstanding = remaining
}

// start assigns a unit to the endpoint that becomes free first.
func (s *simulation) start(unit Unit) {
	s.admitted = append(s.admitted, unit)
	earliest := 0
	for endpoint := range s.freeAt {
		if s.freeAt[endpoint] < s.freeAt[earliest] {
			earliest = endpoint
		}
	}
	tokens := s.queue.requests[unit.Request].UnitTokens[unit.Index]
	s.freeAt[earliest] = max(s.freeAt[earliest], s.now) + time.Duration(tokens/s.tokensPerSecond*float64(second))
	s.outstanding = append(s.outstanding, runningUnit{unit, s.freeAt[earliest]})
}

// enqueue offers a request of equal units to the queue and reports whether it was accepted.
func (s *simulation) enqueue(
	id RequestID, tenant uint64, units int, tokens float64, timeout time.Duration,
) bool {
	_, rejected := s.queue.Enqueue(at(s.now), Request{id, tenant, unitsOf(units, tokens), at(s.now + timeout)})
	return !rejected
}

// observeSmall records a small request whose objective and client time-out are one second.
func (s *simulation) observeSmall(elapsed time.Duration) {
	s.queue.ObserveSmall(at(s.now), SmallRequest{Elapsed: elapsed, Objective: second, ClientTimeout: second})
}

// cancel cancels a request and the outstanding units of all requests, and makes all endpoints free.
func (s *simulation) cancel(id RequestID) {
	for _, running := range s.outstanding {
		s.queue.Complete(at(s.now), running.unit, UnitCancelled)
	}
	s.outstanding = nil
	s.queue.Cancel(at(s.now), id)
	clear(s.freeAt)
}

// compareUnits orders units by request, then by index.
func compareUnits(a, b Unit) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Index, b.Index))
}

// nextPollLimit returns the limit on outstanding tokens that the next poll applies. queue is a copy, so that
// the original does not change.
func nextPollLimit(queue Queue, now control.Time) float64 {
	queue.observeThroughput(now)
	return queue.outstandingLimit(now)
}

// model drives a queue with random events and checks each decision against its own bookkeeping.
type model struct {
	t           *rapid.T
	settings    Settings
	queue       *Queue
	now         time.Duration
	lastID      RequestID
	unitTokens  map[RequestID][]float64 // of accepted requests
	nextUnit    map[RequestID]int
	cancelled   map[RequestID]bool // or rejected
	outstanding map[Unit]float64   // tokens
}

func newModel(t *rapid.T) *model {
	settings := Settings{
		LargeTokens:     1,
		OutstandingWork: time.Duration(rapid.IntRange(0, 500).Draw(t, "outstanding work")) * time.Millisecond,
		Routers:         rapid.IntRange(1, 3).Draw(t, "routers"),
	}
	m := &model{
		t:           t,
		settings:    settings,
		queue:       NewQueue(settings),
		unitTokens:  map[RequestID][]float64{},
		nextUnit:    map[RequestID]int{},
		cancelled:   map[RequestID]bool{},
		outstanding: map[Unit]float64{},
	}
	m.queue.SetReadyEndpoints(rapid.IntRange(0, 8).Draw(t, "endpoints"))
	return m
}

// advance lets a random time pass.
func (m *model) advance() {
	m.now += time.Duration(rapid.IntRange(0, 300).Draw(m.t, "ms")) * time.Millisecond
}

// enqueue offers a random request to the queue.
func (m *model) enqueue() {
	m.lastID++
	tokens := rapid.SliceOfN(rapid.Float64Range(0, 5000), 1, 9).Draw(m.t, "units")
	request := Request{
		ID:         m.lastID,
		Tenant:     rapid.Uint64Range(0, 3).Draw(m.t, "tenant"),
		UnitTokens: slices.Clone(tokens),
		Deadline:   at(m.now + second*time.Duration(rapid.IntRange(0, 9).Draw(m.t, "timeout"))),
	}
	if _, rejected := m.queue.Enqueue(at(m.now), request); !rejected {
		m.unitTokens[m.lastID] = tokens
	}
}

// completeAll ends all outstanding units with random outcomes, and reports each end twice.
func (m *model) completeAll() {
	for _, unit := range slices.SortedFunc(maps.Keys(m.outstanding), compareUnits) {
		m.queue.Complete(at(m.now), unit, UnitOutcome(rapid.IntRange(0, 2).Draw(m.t, "outcome")))
		m.queue.Complete(at(m.now), unit, UnitServed)
		delete(m.outstanding, unit)
	}
}

// cancelOne cancels a random request, which may be unknown, and reports the end of a unit that was never
// admitted.
func (m *model) cancelOne() {
	id := RequestID(rapid.IntRange(0, int(m.lastID)).Draw(m.t, "cancelled"))
	m.queue.Cancel(at(m.now), id)
	m.cancelled[id] = true
	m.queue.Complete(at(m.now), Unit{id, m.nextUnit[id]}, UnitServed)
}

// poll polls the queue and checks that the outstanding units stay within the limit.
func (m *model) poll() {
	limit, largestUnit := nextPollLimit(*m.queue, at(m.now)), m.queue.meanUnitTokens.Value
	isFirstUnit := m.queue.meanUnitTokens.Value == 0
	result := m.queue.Poll(at(m.now))
	m.reject(result.Rejected)
	for _, unit := range result.Admitted {
		tokens := m.admit(unit)
		largestUnit = max(largestUnit, tokens)
		if isFirstUnit && tokens > 0 { // Poll sets the mean, and so the limit, from this unit
			isFirstUnit = false
			limit = m.queue.share.value * tokens * max(float64(m.queue.readyEndpoints)/float64(m.settings.Routers), 1)
		}
	}
	mostTokens := limit + largestUnit/2 + 1e-6 // the mean unit is not larger than the largest one
	outstandingTokens := m.outstandingTokens()
	if len(result.Admitted) > 0 && len(m.outstanding) > 1 && outstandingTokens > mostTokens {
		m.t.Fatalf("%v tokens outstanding, limit %v, largest unit %v", outstandingTokens, limit, largestUnit)
	}
}

// reject records the requests that a poll rejects.
func (m *model) reject(rejections []Rejection) {
	for _, rejection := range rejections {
		m.cancelled[rejection.Request] = true
		if rejection.RetryAfter < pollInterval {
			m.t.Fatalf("RetryAfter is %v, want at least %v", rejection.RetryAfter, pollInterval)
		}
	}
}

// admit records an admitted unit, which must be the next one of its request, and returns its tokens.
func (m *model) admit(unit Unit) (tokens float64) {
	id := unit.Request
	if m.cancelled[id] || unit.Index != m.nextUnit[id] || unit.Index >= len(m.unitTokens[id]) {
		m.t.Fatalf("admitted %v: request cancelled %v, its next unit is %d of %d",
			unit, m.cancelled[id], m.nextUnit[id], len(m.unitTokens[id]))
	}
	m.nextUnit[id]++
	tokens = m.unitTokens[id][unit.Index]
	m.outstanding[unit] = tokens
	return tokens
}

func (m *model) outstandingTokens() float64 {
	total := 0.0
	for _, tokens := range m.outstanding {
		total += tokens
	}
	return total
}

// waiting returns the number of waiting units and their tokens.
func (m *model) waiting() (units int, tokens float64) {
	for id, unitTokens := range m.unitTokens {
		if !m.cancelled[id] {
			for _, waiting := range unitTokens[m.nextUnit[id]:] {
				units++
				tokens += waiting
			}
		}
	}
	return units, tokens
}

// checkCounts checks the queue's counts, and that no unit waits while the pool is idle.
func (m *model) checkCounts() {
	waitingUnits, waitingTokens := m.waiting()
	if len(m.outstanding) == 0 && waitingUnits > 0 {
		m.t.Fatalf("%d units wait while none is outstanding", waitingUnits)
	}
	outstandingTokens := m.outstandingTokens()
	difference := m.queue.outstandingTokens - outstandingTokens
	if difference > 1e-6 || difference < -1e-6 || m.queue.outstandingUnits != len(m.outstanding) {
		m.t.Fatalf("the queue counts %v outstanding tokens in %d units, want %v in %d",
			m.queue.outstandingTokens, m.queue.outstandingUnits, outstandingTokens, len(m.outstanding))
	}
	if difference := m.queue.waitingTokens - waitingTokens; difference > 1e-6 || difference < -1e-6 {
		m.t.Fatalf("the queue counts %v waiting tokens, want %v", m.queue.waitingTokens, waitingTokens)
	}
	next, ok := m.queue.NextPoll()
	if ok != (waitingUnits > 0) || next != at(m.now+pollInterval) {
		m.t.Fatalf("NextPoll returned %v, %v while %d units wait", next, ok, waitingUnits)
	}
}

// endAll cancels all requests and ends all units.
func (m *model) endAll() {
	for id := RequestID(0); id <= m.lastID; id++ {
		m.queue.Cancel(at(m.now), id)
	}
	for unit := range m.outstanding {
		m.queue.Complete(at(m.now), unit, UnitServed)
	}
	m.queue.Poll(at(m.now))
}

// checkEmpty checks that the queue has no state left.
func (m *model) checkEmpty() {
	queue := m.queue
	if queue.Len() != 0 || len(queue.tenants) != 0 || queue.waitingTokens != 0 || queue.outstandingTokens != 0 {
		m.t.Fatalf("left: %d requests, %d tenants, %v tokens waiting, %v outstanding",
			queue.Len(), len(queue.tenants), queue.waitingTokens, queue.outstandingTokens)
	}
}

// TestUnitsAdmittedOnceInOrderWithinLimit: for any sequence of events each unit is admitted once, in order,
// and never after its request was cancelled. The outstanding units stay within the limit, no unit waits
// while the pool is idle, and no state is left at the end.
func TestUnitsAdmittedOnceInOrderWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.advance()
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				m.enqueue()
			case 2:
				m.completeAll()
			case 3:
				m.cancelOne()
			case 4:
				m.queue.ObserveSmall(at(m.now), SmallRequest{second, second, second})
			case 5:
				m.queue.ObserveSmall(at(m.now), SmallRequest{0, second, second})
			}
			m.poll()
			m.checkCounts()
		}
		m.endAll()
		m.checkEmpty()
	})
}

// TestTenantsShareFairly: a tenant with a single waiting request gets as much service as one with many.
func TestTenantsShareFairly(t *testing.T) {
	s := newSimulation(1, 20000, Settings{LargeTokens: 1})
	s.enqueue(99, 2, 1, 1000, time.Hour) // the first request, which wins ties
	for i := range RequestID(20) {
		s.enqueue(i+1, 1, 4, 1000, time.Hour)
	}

	for id := RequestID(100); s.now < 4*second; s.run(s.now + 20*time.Millisecond) {
		if tenant := s.queue.tenants[2]; tenant == nil || !tenant.isWaiting() {
			s.enqueue(id, 2, 1, 1000, time.Hour)
			id++
		}
	}

	admitted := map[uint64]int{}
	for _, unit := range s.admitted {
		admitted[uint64(unit.Request/100)]++
	}
	if admitted[0] < 30 || admitted[1] < 30 || admitted[0] > admitted[1]+4 || admitted[1] > admitted[0]+4 {
		t.Errorf("units admitted by tenant: %v, want about equal numbers", admitted)
	}
}

// TestStartedThenSmallestRequestIsAdmittedFirst: within a tenant, a request that has started comes first,
// then the smallest.
func TestStartedThenSmallestRequestIsAdmittedFirst(t *testing.T) {
	s := newSimulation(1, 10000, Settings{LargeTokens: 1})
	s.enqueue(1, 1, 6, 1000, time.Hour)
	s.run(150 * time.Millisecond)
	s.enqueue(2, 1, 5, 1000, time.Hour)
	s.enqueue(3, 1, 2, 1000, time.Hour)

	s.run(3 * second)

	order := []RequestID{}
	for _, unit := range s.admitted {
		if len(order) == 0 || order[len(order)-1] != unit.Request {
			order = append(order, unit.Request)
		}
	}
	if !slices.Equal(order, []RequestID{1, 3, 2}) {
		t.Errorf("requests were admitted in the order %v, want 1, 3, 2", order)
	}
}

// TestRequestsThatCannotEndInTimeAreRejected: the queue learns the throughput and keeps the endpoints busy.
// It rejects a request that cannot end in time, on arrival or after the endpoints have become slower, and
// accepts requests again after the endpoints have recovered.
func TestRequestsThatCannotEndInTimeAreRejected(t *testing.T) {
	s := newSimulation(4, 20000, Settings{LargeTokens: 1, OutstandingWork: 250 * time.Millisecond})

	// The queue learns the throughput, without and with small requests.
	s.enqueue(1, 1, 700, 1000, time.Hour)
	s.run(4 * second)
	done := len(s.admitted) - len(s.outstanding)
	if done < 75*4 || s.mostOutstanding > 4*24 { // 80 units/s; 4 * OutstandingWork is 20 units for each endpoint
		t.Errorf("%d units served in 4 s, at most %d outstanding", done, s.mostOutstanding)
	}
	for s.mostOutstanding = 0; s.now < 5500*time.Millisecond; s.run(s.now + 20*time.Millisecond) {
		s.observeSmall(0)
	}
	if len(s.outstanding) > 4*8 || len(s.outstanding) < 4*4 { // OutstandingWork is 5 units for each endpoint
		t.Errorf("%d units outstanding while small requests arrive", len(s.outstanding))
	}

	// Only requests that cannot end in time are rejected on arrival.
	if s.enqueue(2, 1, 400, 1000, second) {
		t.Error("accepted 5 s of work with a deadline in 1 s")
	}
	rejection, _ := s.queue.Enqueue(at(s.now), Request{3, 2, unitsOf(400, 1000), at(s.now + 2*second)})
	if rejection.RetryAfter < 2*second || rejection.RetryAfter > 8*second {
		t.Errorf("RetryAfter is %v, want 2 s to 8 s", rejection.RetryAfter)
	}
	if !s.enqueue(4, 2, 40, 1000, 3*second) {
		t.Error("rejected 0.5 s of work with a fair share of half and a deadline in 3 s")
	}
	s.run(s.now + 9*second)
	if len(s.rejected) > 0 {
		t.Errorf("rejected: %v, want none", s.rejected)
	}

	// An accepted request is rejected when the endpoints become ten times slower.
	s.enqueue(5, 1, 200, 1000, 4*second)
	s.run(s.now + 200*time.Millisecond)
	s.tokensPerSecond /= 10
	s.run(s.now + 2*second)
	if len(s.rejected) != 1 || s.rejected[0] != 5 || s.queue.waitingTokens != 0 {
		t.Errorf("rejected: %v, want [5]; %v tokens wait", s.rejected, s.queue.waitingTokens)
	}

	// The queue accepts requests again after the endpoints have recovered.
	s.tokensPerSecond *= 10
	s.run(s.now + 20*second)
	if !s.enqueue(6, 1, 100, 1000, 4*second) {
		t.Error("rejected a request after the endpoints had recovered")
	}
}

// TestLateSmallRequestsLowerShareOfLargeOnes: late small requests lower the share of large requests, down to
// one unit at a time. The share recovers when small requests are on time again. A late small request has no
// effect while no large request is outstanding.
func TestLateSmallRequestsLowerShareOfLargeOnes(t *testing.T) {
	s := newSimulation(8, 10000, Settings{LargeTokens: 1, OutstandingWork: 50 * time.Millisecond})

	s.observeSmall(second)
	if s.queue.share.value != 1 {
		t.Error("the share fell while no large request was outstanding")
	}

	s.enqueue(1, 1, 1000, 1000, time.Hour)
	s.run(second)
	if len(s.outstanding) != 8 {
		t.Errorf("%d of 8 endpoints have a unit, want all", len(s.outstanding))
	}

	for range 100 {
		s.observeSmall(600 * time.Millisecond)
		s.run(s.now + 20*time.Millisecond)
	}
	if len(s.outstanding) != 1 {
		t.Errorf("%d units outstanding while small requests are late, want 1", len(s.outstanding))
	}

	for range 50 {
		s.observeSmall(400 * time.Millisecond)
	}
	s.run(s.now + second/2)
	if len(s.outstanding) != 8 {
		t.Errorf("%d of 8 endpoints have a unit while small requests are on time, want all", len(s.outstanding))
	}
}

// TestClientCannotDelayRequestsOfOthers: one client cannot delay the large requests of another, neither by
// cancelling its own early nor by sending small requests with a short client time-out.
func TestClientCannotDelayRequestsOfOthers(t *testing.T) {
	s := newSimulation(2, 10000, Settings{LargeTokens: 1, OutstandingWork: 100 * time.Millisecond})
	s.enqueue(1, 1, 60, 1000, time.Hour)
	s.run(3 * second)

	for id := RequestID(2); id < 80; id++ { // its units take 200 ms each and are cancelled after 100 ms
		s.queue.ObserveSmall(at(s.now), SmallRequest{
			Elapsed:       second,
			Objective:     second,
			ClientTimeout: 50 * time.Millisecond,
		})
		s.enqueue(id, 1, 2, 2000, time.Hour)
		s.run(s.now + 100*time.Millisecond)
		s.cancel(id)
	}

	if s.queue.share.value != 1 {
		t.Errorf("the share is %v, want 1", s.queue.share.value)
	}
	if !s.enqueue(100, 2, 40, 1000, 4*second) { // 2 s of work
		t.Error("rejected a request of another client")
	}
}

// TestEarlyCancellationDoesNotLowerThroughput: units that are cancelled before they end do not lower the
// measured throughput, even if a unit is outstanding at all times.
func TestEarlyCancellationDoesNotLowerThroughput(t *testing.T) {
	s := newSimulation(2, 10000, Settings{LargeTokens: 1, OutstandingWork: 100 * time.Millisecond})
	s.enqueue(1, 1, 60, 1000, time.Hour)
	s.run(4 * second)
	rate := s.queue.throughput.rate.Value
	if rate == 0 {
		t.Fatal("no throughput was measured")
	}

	var previous []Unit
	for id := RequestID(2); id < 80; id++ {
		s.enqueue(id, 1, 1, 2000, time.Hour)
		admitted := s.queue.Poll(at(s.now)).Admitted
		for _, unit := range previous {
			s.queue.Complete(at(s.now), unit, UnitCancelled)
		}
		previous = admitted
		s.now += 100 * time.Millisecond
	}

	if s.queue.throughput.rate.Value != rate {
		t.Errorf("the throughput changed from %v to %v tokens per second", rate, s.queue.throughput.rate.Value)
	}
}

// TestKnownTenantsAreBounded: the number of known tenants is bounded even if each request has another tenant.
func TestKnownTenantsAreBounded(t *testing.T) {
	s := newSimulation(1, 1e6, Settings{LargeTokens: 1, OutstandingWork: time.Millisecond})
	s.enqueue(1, 0, 1e5, 1000, time.Hour)
	for i := range 20 * softMaxTenants {
		s.enqueue(RequestID(i+2), uint64(i+1), 1, 1000, time.Hour)
		s.run(s.now + 5*time.Millisecond)
	}
	if known := len(s.queue.tenants); known > 5*softMaxTenants {
		t.Errorf("%d tenants are known, want at most %d", known, 5*softMaxTenants)
	}
}

func BenchmarkPoll(b *testing.B) {
	s := newSimulation(100, 1e5, Settings{LargeTokens: 1, OutstandingWork: 100 * time.Millisecond})
	for i := range 1000 {
		s.enqueue(RequestID(i+1), uint64(i%50), 1000, 1000, time.Hour)
	}
	now := time.Duration(0)
	var outstanding []Unit
	for b.Loop() { // one unit ends for each poll
		now += 10 * time.Microsecond
		if len(outstanding) > 100 {
			s.queue.Complete(at(now), outstanding[0], UnitServed)
			outstanding = outstanding[1:]
		}
		outstanding = append(outstanding, s.queue.Poll(at(now)).Admitted...)
	}
}
