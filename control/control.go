package control

// This file holds every decision of the router; api.go holds its settings,
// events and actions. The path of a request:
//
//  1. arrive: it joins the heap, lowest accumulated service time (CST) of its session first.
//  2. release: while writers are thought to have room it is popped and sent to a reader (its
//     session's last, else the one its prefix hashes to) or whole to a mixed server. One that
//     can no longer make its aim is refused instead, before it is read.
//  3. next: when the read has ended, of two random writers the one with fewer of our streams
//     takes the state. Failed attempts come by here too.
//  4. giveUp and end: one final answer, and what is held is let go on every way out.
//
// What is about failure hangs off judge (outcomes), checkSilence (the tick) and usable.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The design's own values.
const (
	tickEvery   = 50 * time.Millisecond // the release loop's heartbeat
	sessionIdle = 60 * time.Second      // a session's entry is dropped after this
	liftAt      = 4.0                   // wait over CST above which a request jumps ahead
	fullMemory  = 0.9                   // share of a writer's memory above which it has no room
	overMedian  = 2.0                   // a reader with so many times the median of our sends is passed over
	roomAlpha   = 0.3                   // weight of a new report in the moving average of room
)

// Values that the design leaves open.
const (
	memoryPart   = 1.3  // our part of a writer's memory, over 1/routers: clients spread unevenly
	outShare     = 0.3  // share of MaxTokens that an answer is taken to need, before it is known
	sendsKept    = 0.5  // share of our sends that a new report is taken not to show yet
	minWeight    = 0.01 // a server's weight is taken as at least this
	fewReads     = 3.0  // reads at one reader that are never too many
	mixedPart    = 0.6  // what a mixed server answers whole, against a writer's answers
	unitBase     = 500  // tokens; fixed cost of a read, in prompt tokens
	unitAlpha    = 0.2  // weight of a new sample in a server's times
	rateFade     = 0.98 // a role's best rate of work fades by this each second
	meanAlpha    = 0.05 // weight of a new sample in the means over all requests
	etaMargin    = 1.25 // an estimate is trusted up to this factor: refused early beats failed late
	illAlpha     = 0.3  // weight of one outcome in a server's share of failures
	silentWeight = 0.5  // what a long silence adds to that share: aside until two attempts go well
	illAt        = 0.35 // share of failures above which a server is set aside: two of the last four
	slowAt       = 3.0  // times the role's median time above which a server is set aside
	slowSamples  = 5    // times seen before slowness is believed
	asideCap     = 0.5  // share of a role that may be set aside for errors or slowness
	coldMargin   = 0.4  // share of the fall-over budget that is spent: the rest is for chance and neighbours

	trialFirst  = time.Second            // wait before a server set aside gets a trial
	trialMost   = 4 * time.Second        // and the longest wait between trials
	silenceMin  = 500 * time.Millisecond // silence shorter than this means nothing
	silenceRole = 4.0                    // silence beyond this multiple of the role's usual time is an illness
	maxEta      = 60.0                   // seconds; no estimate is longer
	statAge     = 2 * time.Second        // without news, an estimate fades over this time
	probeEvery  = time.Second            // between probes of one server, and between sweeps of the tables
	reportStale = 4 * time.Second        // an older load report is no longer believed
	retryShare  = 0.6                    // part of the time left that one attempt may take: another must fit
	shyFor      = 4 * time.Second        // a server back in reach counts as cold for this: then a start is known
	fullPause   = 200 * time.Millisecond // a server that turned us away rests for this long
)

// request is one client request while we owe an answer or an attempt is out.
type request struct {
	Request
	class            *Class
	session          *session
	arrived, aim     Time // aim: first token wanted by then
	seq              uint64
	pos              int  // in the heap; -1 outside
	lifted, over     bool // over: its tenant is beyond its allowance
	ended            bool // answered; kept only while an attempt is out
	attempts         int
	out, started     bool // an attempt is out; its answer streams
	at               *server
	sentAt, restedAt Time    // of the latest attempt: its start and its end
	holder           *server // the reader whose memory holds the state
	spent            time.Duration
	toRead           float64   // tokens that its server has to read, as far as is known, or to fetch
	need             float64   // tokens of writer memory
	ranOn            *server   // where an attempt first may have had its effect,
	ranAt            Time      // and when that was sent
	shunned          []*server // failed it before
}

// session is a row of the session table.
type session struct {
	cst, wait time.Duration
	last      *server // read its latest prompt
	length    float64 // of that prompt
	seen      Time
}

// server is what this router knows of one server.
type server struct {
	Server
	role           Role
	capacity       float64    // annotated memory in tokens; 0 if none
	out            []*request // our attempts there
	reads, streams float64    // our reads under way; our answers asked for or streaming
	tokens         float64    // memory that those answers need
	free, sent     float64    // tokens of room that are ours, by reports; tokens sent since
	heardAt        Time       // latest load report; 0 for never

	unit                 float64 // seconds to the end of a read or the first token, per token
	pace                 float64 // its better times: a read's a token, or an answer's over the mean of its class
	samples              int
	sampleAt, signAt     Time    // signAt: last outcome or start of an answer
	ill                  float64 // share of recent attempts that failed
	lost                 bool    // was out of reach when last tried
	trialWait            time.Duration
	nextTrial, restUntil Time    // restUntil: it turned us away
	coldAt               Time    // start, or return from being out of reach
	credit, done         float64 // work that it may be sent while cold; work that it finished for us lately
	creditAt             Time
	probeAt              Time
	probing              bool
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	set            Settings
	rng            *rand.Rand
	now, swept     Time
	acts           []Action
	servers        map[ServerID]*server
	order          []*server // by id
	sessions       map[uint64]*session
	requests       map[RequestID]*request
	held           queue
	resting        []*request // read, and no writer takes them now
	flow, released float64    // releases a second, lately; since the latest sweep
	seq            uint64
	ticking        bool
	need           float64    // mean tokens of a request
	work           []float64  // mean work of a class, in tokens
	duration       []float64  // mean seconds of an answer, by class
	rate           [3]float64 // work that a warm server of each role takes from us, a second
	pool           [3]float64 // weight of the ready servers of each role
	usage          []float64  // requests of each tenant, leaking at the rate of our part of its allowance
}

// New returns the router of one instance, which knows no server yet.
func New(set Settings, now Time) *Router {
	set.Routers, set.MaxAttempts = max(set.Routers, 1), max(set.MaxAttempts, 1)
	return &Router{set: set, rng: rand.New(rand.NewPCG(set.Seed, set.Seed>>32)), now: now, swept: now,
		servers: map[ServerID]*server{}, sessions: map[uint64]*session{}, requests: map[RequestID]*request{},
		work: make([]float64, len(set.Classes)), duration: make([]float64, len(set.Classes)),
		usage: make([]float64, len(set.Tenants))}
}

// Handle takes the events of one instant and returns what is to be done, in order.
func (r *Router) Handle(now Time, events []Event) []Action {
	r.now, r.acts = max(now, r.now), nil
	if !r.ticking {
		r.ticking = true
		r.do(SetTimer{After: tickEvery})
		if r.set.AskFleet {
			r.do(WatchFleet{})
		}
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case Fleet:
			r.fleet(ev)
		case FleetFailed:
			r.do(WatchFleet{})
		case Request:
			r.arrive(ev)
		case Started:
			r.started(ev)
		case Outcome:
			r.outcome(ev)
		case ClientGone:
			if q := r.requests[ev.ID]; q != nil && !q.ended {
				r.end(q)
			}
		case ProbeResult:
			r.probed(ev)
		case Timer:
			r.tick()
		}
	}
	r.release()
	return r.acts
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }

// ---- arrival and the heap ----

func (r *Router) arrive(ev Request) {
	class, s := &r.set.Classes[ev.Class], r.sessions[ev.Session]
	if s == nil {
		s = &session{}
		r.sessions[ev.Session] = s
	}
	s.seen = r.now
	r.seq++
	q := &request{Request: ev, class: class, session: s, arrived: r.now, seq: r.seq,
		aim:  r.now.Add(class.Aim + time.Duration(float64(class.AimPer1000)*ev.PromptLen/1000)),
		need: ev.PromptLen + outShare*ev.MaxTokens, over: r.overAllowance(ev.Tenant)}
	r.requests[ev.ID] = q
	blend(&r.need, q.need, meanAlpha)
	blend(&r.work[ev.Class], r.uncached(q, nil)+2*unitBase, meanAlpha)
	heap.Push(&r.held, q)
	if r.tooLate(q) {
		r.giveUp(q)
	}
}

// blend moves an average towards a value; a zero average takes it whole.
func blend(mean *float64, value, alpha float64) {
	if *mean == 0 {
		*mean = value
	}
	*mean += alpha * (value - *mean)
}

// overAllowance counts a request against its tenant and tells whether the tenant
// sends us more than our part of its allowance. Such requests stand behind others.
func (r *Router) overAllowance(tenant int) bool {
	if tenant >= len(r.usage) || r.set.Tenants[tenant].Allowance <= 0 {
		return false
	}
	rate := r.allowance(tenant)
	if r.usage[tenant] > 2*rate {
		return true
	}
	r.usage[tenant]++
	return false
}

// allowance is our part of what a tenant may send, a second.
func (r *Router) allowance(tenant int) float64 {
	return r.set.Tenants[tenant].Allowance * memoryPart / float64(r.set.Routers)
}

// queue is the heap of held requests: within the tenant's allowance first, then lifted
// ones in order of arrival, then the lowest CST.
type queue []*request

func (h queue) Len() int { return len(h) }
func (h queue) Less(i, j int) bool {
	a, b := h[i], h[j]
	switch {
	case a.over != b.over:
		return b.over
	case a.lifted != b.lifted:
		return a.lifted
	case !a.lifted && a.session.cst != b.session.cst:
		return a.session.cst < b.session.cst
	}
	return a.seq < b.seq
}
func (h queue) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }
func (h *queue) Push(x any)   { q := x.(*request); q.pos = len(*h); *h = append(*h, q) }
func (h *queue) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h, q.pos = (*h)[:last], -1
	return q
}

// ---- release ----

// release pops requests while writers have room. Reads under way are counted
// as load that the writers will get, or states would pile up at the readers.
func (r *Router) release() {
	room, open := r.totalRoom()
	for len(r.held) > 0 && (open || room >= 1) {
		q := heap.Pop(&r.held).(*request)
		if r.tooLate(q) {
			r.giveUp(q)
			continue
		}
		s := r.pickReader(q)
		if s == nil {
			heap.Push(&r.held, q)
			return
		}
		q.session.wait += r.now.Sub(q.arrived)
		r.send(q, s)
		r.released++
		room -= q.need / r.need
	}
}

// totalRoom adds up the room at writers and mixed servers, less reads under
// way. A writer not heard from counts as the mean of the others.
func (r *Router) totalRoom() (room float64, open bool) {
	all, heard, reads := 0.0, 0.0, 0.0
	for _, s := range r.order {
		reads += s.reads
		if s.role == Reader || s.State != Ready || s.aside() {
			continue
		}
		all++
		if n, known := r.room(s); known {
			room, heard = room+max(n, 0), heard+1
		}
	}
	if heard == 0 {
		return 0, true
	}
	return room*all/heard - reads, false
}

// room is how many more mean requests we may give a writer: the least that a report and our own
// answers leave, since reports come late. known is false where nothing tells: the gate stands open.
func (r *Router) room(s *server) (n float64, known bool) {
	n = math.Inf(1)
	if s.capacity > 0 {
		n = fullMemory*s.capacity*min(1, memoryPart/float64(r.set.Routers)) - s.tokens
	}
	if s.heardAt != 0 && r.now.Sub(s.heardAt) < reportStale {
		n = min(n, s.free-s.sent)
	}
	return n / max(r.need, 1), !math.IsInf(n, 1)
}

// report takes in a load report: the RFC's room where the fields for it exist, else annotated
// memory less what is held. Each neighbour sees the same room, so we take our part of it.
func (r *Router) report(s *server, values []float64) {
	if len(values) == 0 || len(values) < len(r.set.Fields) {
		return
	}
	byField := [FieldBacklog + 1]float64{}
	has := [FieldBacklog + 1]bool{}
	for i, f := range r.set.Fields {
		byField[f], has[f] = values[i], true
	}
	free, held := 0.0, byField[FieldMemory]
	switch util := byField[FieldUtil]; {
	case has[FieldInFlight] && util > 0:
		free = byField[FieldInFlight] * (1 - util) / util * r.need
	case has[FieldMemory] && s.capacity > 0:
		free = (fullMemory - held) * s.capacity
	default:
		return
	}
	if held > fullMemory || byField[FieldQueue] >= fewReads {
		free = 0
	}
	free = max(free, 0) / float64(r.set.Routers)
	if s.heardAt == 0 || r.now.Sub(s.heardAt) > reportStale {
		s.free, s.sent = free, 0
	}
	blend(&s.free, free, roomAlpha)
	s.sent *= sendsKept
	s.heardAt = r.now
}

// tooLate tells that a held request can't make its aim, or its client leaves before the next look.
func (r *Router) tooLate(q *request) bool {
	ahead := time.Duration(float64(max(q.pos, 0)) / cmp.Or(r.flow, math.Inf(1)) * float64(time.Second))
	return r.now.Add(2*tickEvery) >= q.Deadline || !q.Resumed && r.now.Add(r.eta(q)+ahead) > q.aim
}

// eta is the least time in which a request could yet get its first token.
func (r *Router) eta(q *request) time.Duration {
	best := maxEta
	writer := r.median(Writer, r.unitNow) * (q.PromptLen + unitBase)
	for _, s := range r.order {
		if s.State != Ready || s.aside() || s.role == Writer {
			continue
		}
		t := r.unitNow(s) * (r.uncached(q, s) + unitBase)
		if s.role == Reader {
			t += writer
		}
		best = min(best, t)
	}
	return time.Duration(etaMargin * best * float64(time.Second))
}

// uncached is how much of a prompt a server is thought to have to read.
func (r *Router) uncached(q *request, s *server) float64 {
	kept := 0.0
	if q.Prefix != 0 {
		kept = q.PrefixLen
	}
	if s != nil && q.session.last == s {
		kept = max(kept, q.session.length)
	}
	return max(q.PromptLen-kept, 0)
}

// pickReader returns the session's last reader unless it is overloaded, else the first that fits
// in its prefix's order, else the least loaded. One due for a trial is taken first.
func (r *Router) pickReader(q *request) *server {
	medians := [3]float64{Reader: r.median(Reader, (*server).load),
		Mixed: mixedPart * r.median(Writer, (*server).load)}
	fits := func(s *server) bool {
		if !r.usable(s, q) || s.load()*s.Weight >= fewReads && s.load() > overMedian*medians[s.role] {
			return false
		}
		n, known := r.room(s)
		return s.role == Reader || !known || n >= 1
	}
	if last := q.session.last; last != nil && fits(last) {
		return last
	}
	key := cmp.Or(q.Prefix, q.Session)
	var best, spare *server
	bestScore := 0.0
	for _, s := range r.order {
		if s.role == Writer || !r.usable(s, q) {
			continue
		}
		if s.aside() {
			return s
		}
		weight := mixedPart * s.Weight
		if s.role == Reader {
			weight = s.Weight * max(r.pool[Writer], minWeight) / r.pool[Reader]
		}
		if score := rank(key, s.ID, weight); score > bestScore && fits(s) {
			best, bestScore = s, score
		}
		if spare == nil || s.load() < spare.load() {
			spare = s
		}
	}
	return cmp.Or(best, spare)
}

// rank scores a server for a key by weighted rendezvous hashing: all routers
// agree on the order, and a server that leaves moves only its own keys.
func rank(key uint64, id ServerID, weight float64) float64 {
	x := key ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return weight / -math.Log((float64((x^x>>31)>>11)+0.5)/(1<<53))
}

// pickWriter takes two random writers and returns the one with fewer of our
// streams; of equals, the one in the state's own cell. Mixed servers take a
// state only when no writer can.
func (r *Router) pickWriter(q *request) *server {
	for _, role := range []Role{Writer, Mixed} {
		var list []*server
		for _, s := range r.order {
			if s.role == role && r.usable(s, q) {
				if s.aside() {
					return s
				}
				list = append(list, s)
			}
		}
		if len(list) > 0 {
			a, b := list[r.rng.IntN(len(list))], list[r.rng.IntN(len(list))]
			if b.load() < a.load() || b.load() == a.load() && b.Cell == q.holder.Cell {
				a = b
			}
			return a
		}
	}
	return nil
}

// ---- attempts ----

// send starts the next attempt of a request.
func (r *Router) send(q *request, s *server) {
	q.at, q.sentAt, q.out = s, r.now, true
	q.attempts++
	if s.role == Reader {
		s.reads++
	} else {
		s.streams++
		s.tokens += q.need
		s.sent += q.need
	}
	if q.toRead = q.PromptLen; q.holder == nil {
		q.toRead = r.uncached(q, s)
	}
	if s.role != Writer {
		q.session.last, q.session.length = s, q.PromptLen
	}
	s.out = append(s.out, q)
	s.credit -= r.work[q.Class]
	timeout := q.Deadline.Sub(r.now)
	if !r.set.MayCancel && q.attempts < r.set.MaxAttempts && (s.role == Reader || q.class.Effect != Unsafe) {
		timeout = time.Duration(retryShare * float64(timeout))
	}
	if s.aside() {
		s.nextTrial = r.now.Add(s.trialWait)
	}
	r.do(Send{ID: q.ID, Server: s.ID, Timeout: max(timeout, time.Millisecond)})
}

func (r *Router) started(ev Started) {
	q, s := r.requests[ev.ID], r.servers[ev.Server]
	if q == nil || s == nil || !q.out {
		return
	}
	s.signAt = r.now
	r.sample(s, ev.Took.Seconds(), q.toRead)
	q.started, q.holder = true, nil
}

// outcome takes in the end of an attempt, late ones too.
func (r *Router) outcome(ev Outcome) {
	q, s := r.requests[ev.ID], r.servers[ev.Server]
	if q == nil || s == nil || !q.out {
		r.do(Release{ID: ev.ID}) // whatever it brought, nobody waits for it
		return
	}
	q.out = false
	if i := slices.Index(s.out, q); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	if s.role == Reader {
		s.reads--
	} else {
		s.streams--
		s.tokens -= q.need
	}
	q.restedAt = r.now
	r.report(s, ev.Report)
	r.judge(q, s, ev)
	s.signAt = r.now
	q.spent += ev.Took
	if ev.Result == ReadDone {
		q.holder = s
	} else if ev.Result == OK {
		q.session.cst += q.spent
	}
	if ev.Final || q.ended {
		r.end(q)
		return
	}
	r.proceed(q, s, ev)
}

// proceed decides what comes after an attempt that did not end its request.
func (r *Router) proceed(q *request, s *server, ev Outcome) {
	ran := ev.Result == Failed || ev.Result == TimedOut || ev.Result == Reset || ev.Result == Cancelled
	if ran && s.role != Reader && q.ranOn == nil {
		q.ranOn, q.ranAt = s, q.sentAt
	}
	if ev.Result == Full && ev.Note == 1 { // gone, or out of this writer's reach: read it anew
		q.holder = nil
		r.do(Release{ID: q.ID})
	} else if ev.Result != ReadDone {
		q.shunned = append(q.shunned, s)
	}
	r.next(q)
}

// next sends a request on from where it stands, or answers it at once. Where
// every writer has failed it once, all may be tried again; a state that none takes now
// waits at its reader for the next tick, until its pin limit is near.
func (r *Router) next(q *request) {
	if q.attempts >= r.set.MaxAttempts || r.now >= q.Deadline || !r.mayRepeat(q) {
		r.giveUp(q)
		return
	}
	pick := r.pickReader
	if q.holder != nil {
		pick = r.pickWriter
	}
	s := pick(q)
	if s == nil && q.holder != nil {
		q.shunned = nil
		s = pick(q)
	}
	switch {
	case s != nil:
		r.send(q, s)
	case q.holder != nil && r.now.Add(2*tickEvery) < min(q.restedAt.Add(r.set.PinLimit), q.Deadline):
		r.resting = append(r.resting, q)
	default:
		r.giveUp(q)
	}
}

// mayRepeat keeps effects from happening twice.
func (r *Router) mayRepeat(q *request) bool {
	return q.ranOn == nil || q.class.Effect == Safe ||
		q.class.Effect == Keyed && r.now.Sub(q.ranAt) < q.class.Window
}

// inScope keeps a keyed request that may have run within the servers that drop its repeats.
func inScope(s *server, q *request) bool {
	return q.ranOn == nil || q.class.Effect != Keyed || s.role == Reader || q.class.Scope == ScopeAll ||
		q.class.Scope == ScopeZone && s.Zone == q.ranOn.Zone || q.class.Scope == ScopeCell && s.Cell == q.ranOn.Cell
}

// giveUp gives the final answer at once: a refusal where a retry is known to be harmless, else a failure.
func (r *Router) giveUp(q *request) {
	if q.ranOn == nil || q.class.Effect == Safe || q.class.Effect == Keyed && q.class.Scope == ScopeAll {
		r.do(Refuse{ID: q.ID, RetryAfter: min(r.set.MaxRetryAfter, max(r.eta(q), tickEvery))})
	} else {
		r.do(Fail{ID: q.ID})
	}
	r.end(q)
}

// end closes a request and lets go of whatever may be held for it, known or not:
// a state behind a cut link outlives the word that it is gone. Said again on the late outcome.
func (r *Router) end(q *request) {
	if !q.ended && q.attempts == 0 && q.pos >= 0 {
		heap.Remove(&r.held, q.pos)
	}
	q.ended = true
	if q.attempts > 0 && !q.started {
		r.do(Release{ID: q.ID})
	}
	if !q.out {
		delete(r.requests, q.ID)
	}
}

// ---- health ----

// usable tells whether a request may go to a server: listed, well or due for a
// trial, not resting, not failed for this request before, within its cold budget.
func (r *Router) usable(s *server, q *request) bool {
	if s.State != Ready || r.now < s.restUntil || slices.Contains(q.shunned, s) || !inScope(s, q) {
		return false
	}
	if s.aside() && (r.now < s.nextTrial || len(s.out) > 0 || q.class.Effect != Safe) {
		return false
	}
	return r.coldRoom(s, r.work[q.Class])
}

// aside tells that a server is set aside; load is our work there for its size.
func (s *server) aside() bool   { return s.ill > illAt }
func (s *server) load() float64 { return (s.reads + s.streams) / s.Weight }

// judge books an outcome to its server's health.
func (r *Router) judge(q *request, s *server, ev Outcome) {
	switch ev.Result {
	case OK:
		r.good(s)
		s.done += r.work[q.Class]
		blend(&r.duration[q.Class], ev.Took.Seconds(), meanAlpha)
		r.checkSlow(s, ev.Took.Seconds()/r.duration[q.Class])
	case ReadDone:
		r.good(s)
		s.done += r.work[q.Class]
		r.checkSlow(s, r.sample(s, ev.Took.Seconds(), max(q.PromptLen-float64(ev.Note), 0)))
	case Failed:
		r.bad(s, illAlpha, "errors")
	case TimedOut:
		if s.signAt < q.sentAt {
			r.bad(s, illAlpha, "time-outs")
		}
	case ConnectFailed, Reset:
		s.lost = true
		r.bad(s, 1, "out of reach")
	case Full:
		if ev.Note == 0 {
			s.restUntil = r.now.Add(fullPause)
		}
	}
}

// good notes an attempt that went well. A server back in reach may be a new process: it counts as cold.
func (r *Router) good(s *server) {
	if s.lost {
		s.lost, s.ill, s.coldAt = false, illAt, max(s.coldAt, r.now.Add(shyFor-r.set.ColdFor))
		s.credit, s.creditAt = 0, r.now
	}
	s.nextTrial = r.now
	s.ill *= 1 - illAlpha
	if !s.aside() {
		s.trialWait = trialFirst
	}
}

// bad notes a failed attempt. weight 1 sets the server aside at once.
func (r *Router) bad(s *server, weight float64, why string) {
	if weight < 1 && r.crowded(s) {
		return
	}
	was := s.aside()
	s.ill += weight * (1 - s.ill)
	if was {
		s.trialWait = min(s.trialWait*3/2, trialMost)
	} else if s.aside() {
		r.do(Log{Text: fmt.Sprintf("server %x set aside: %s", s.ID, why)})
	}
	s.nextTrial = r.now.Add(s.trialWait)
}

// crowded tells that so much of a role is aside that no more may follow for errors,
// slowness or silence: a fault that most share is not the servers'.
func (r *Router) crowded(s *server) bool {
	all, well := 0.0, 0.0
	for _, t := range r.order {
		if t.role == s.role && t.State == Ready {
			all++
			if t != s && !t.aside() {
				well++
			}
		}
	}
	return well < all*(1-asideCap)
}

// median of a figure over the well servers of a role; 0 if there are none.
func (r *Router) median(role Role, figure func(*server) float64) float64 {
	var list []float64
	for _, s := range r.order {
		if s.role == role && s.State == Ready && !s.aside() {
			list = append(list, figure(s))
		}
	}
	slices.Sort(list)
	list = append(list, 0)
	return list[(len(list)-1)/2]
}

// sample takes in the time to the end of a read or to a first token.
func (r *Router) sample(s *server, seconds, tokens float64) (unit float64) {
	unit = seconds / (tokens + unitBase)
	if r.now.Sub(s.sampleAt) > 2*statAge {
		s.unit = 0
	}
	blend(&s.unit, unit, unitAlpha)
	s.sampleAt = r.now
	return unit
}

// checkSlow sets aside a server whose better times, which a queue leaves alone, are slow for its role.
func (r *Router) checkSlow(s *server, value float64) {
	alpha := unitAlpha / 2
	if value < s.pace {
		alpha = 0.5
	}
	blend(&s.pace, value, alpha)
	s.samples++
	median := r.median(s.role, func(t *server) float64 { return t.pace })
	if s.samples >= slowSamples && median > 0 && value > slowAt*median && s.pace > slowAt*median {
		r.bad(s, illAlpha, "slow")
	}
}

// unitNow is a server's time a token, fading without news.
func (r *Router) unitNow(s *server) float64 {
	return s.unit * math.Exp(-max(0, r.now.Sub(s.sampleAt).Seconds())/statAge.Seconds())
}

// coldRoom tells whether a cold server may be sent one more. The danger is a
// server that has just started and falls over. Its credit grows at a part of what
// warm peers of its role finish for us; how it warms up is not told, so it counts as
// at its coldest throughout. It also spares a server that was cut off. It hurts
// where all of a role is cold: then each gets a request now and then.
func (r *Router) coldRoom(s *server, work float64) bool {
	if s.coldAt == 0 || r.now.Sub(s.coldAt) >= r.set.ColdFor {
		return true
	}
	window := r.set.FallAfter.Seconds()
	pace := r.rate[s.role] * r.set.ColdFrom * r.set.FallMultiple * coldMargin
	pace = max(pace, work/(2*window*float64(r.set.Routers)))
	s.credit = min(s.credit+pace*r.now.Sub(s.creditAt).Seconds(), max(work, pace*window/2))
	s.creditAt = r.now
	return s.credit >= work
}

// ---- the tick ----

func (r *Router) tick() {
	r.do(SetTimer{After: tickEvery})
	r.lift()
	resting := r.resting
	r.resting = nil
	for _, q := range resting {
		if !q.ended {
			r.next(q)
		}
	}
	for _, s := range r.order {
		r.checkSilence(s)
		if r.set.MayProbe && s.State != Gone && !s.probing && r.now.Sub(s.probeAt) >= probeEvery {
			s.probing, s.probeAt = true, r.now
			r.do(Probe{Server: s.ID})
		}
	}
	if r.now.Sub(r.swept) >= probeEvery {
		r.sweep()
	}
}

// lift lets long waiters jump ahead, and refuses those whose aim has gone.
func (r *Router) lift() {
	late := slices.DeleteFunc(slices.Clone(r.held), func(q *request) bool { return !r.tooLate(q) })
	for _, q := range r.held {
		q.lifted = float64(q.session.wait+r.now.Sub(q.arrived)) > liftAt*float64(q.session.cst)
	}
	heap.Init(&r.held)
	slices.SortFunc(late, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	for _, q := range late {
		r.giveUp(q)
	}
}

// checkSilence sets aside a server that has held an attempt without a sign for
// longer than its role needs, and takes back what may be sent elsewhere.
func (r *Router) checkSilence(s *server) {
	i := slices.IndexFunc(s.out, func(q *request) bool { return !q.started && !q.ended })
	if i < 0 {
		return
	}
	tokens := 0.0
	for _, q := range s.out {
		if !q.started {
			tokens += q.toRead + unitBase
		}
	}
	usual := r.median(s.role, func(t *server) float64 { return t.unit }) * tokens
	patience := max(silenceMin, time.Duration(silenceRole*usual*float64(time.Second)))
	if r.now.Sub(max(s.signAt, s.out[i].sentAt)) < patience || r.crowded(s) {
		return
	}
	s.signAt = r.now
	r.bad(s, silentWeight, "silent")
	for _, q := range s.out {
		if r.set.MayCancel && !q.ended && !q.started && q.attempts < r.set.MaxAttempts &&
			(s.role == Reader || q.class.Effect == Safe) {
			r.do(Cancel{ID: q.ID, Attempt: q.attempts - 1})
		}
	}
}

// probed takes in a probe: some sites' only source of load reports, or of signs of life.
func (r *Router) probed(ev ProbeResult) {
	s := r.servers[ev.Server]
	s.probing = false
	if r.report(s, ev.Report); ev.Result == TimedOut || ev.Result == ConnectFailed || ev.Result == Reset {
		s.lost = true
		r.bad(s, 1, "probe unanswered")
	}
}

// sweep drops idle sessions and renews the rates at which warm servers of each
// role take work from us.
func (r *Router) sweep() {
	span := r.now.Sub(r.swept).Seconds()
	r.swept = r.now
	blend(&r.flow, r.released/span, unitAlpha)
	r.released = 0
	for tenant := range r.usage {
		r.usage[tenant] = max(0, r.usage[tenant]-span*r.allowance(tenant))
	}
	for id, s := range r.sessions {
		if r.now.Sub(s.seen) > sessionIdle {
			delete(r.sessions, id)
		}
	}
	var sum, n [3]float64
	for _, s := range r.order {
		if s.coldAt == 0 || r.now.Sub(s.coldAt) >= r.set.ColdFor {
			sum[s.role] += s.done
			if s.State == Ready && !s.aside() {
				n[s.role]++
			}
		}
		s.done = 0
	}
	for role := range r.rate {
		if n[role] > 0 {
			r.rate[role] = max(r.rate[role]*rateFade, sum[role]/n[role]/span)
		}
	}
}

// ---- the fleet ----

// fleet applies news of the server list. A server that drains or is gone gets
// nothing more from this moment on, which keeps the drain rule at once.
func (r *Router) fleet(ev Fleet) {
	listed := map[ServerID]bool{}
	for _, e := range ev.Servers {
		listed[e.ID] = true
		s := r.servers[e.ID]
		if s == nil {
			s = &server{trialWait: trialFirst}
			r.servers[e.ID] = s
			r.order = append(r.order, s)
		}
		if e.Since > s.coldAt && e.State == Ready { // a new process: what we knew is void
			s.coldAt, s.ill, s.lost, s.samples, s.trialWait = e.Since, 0, false, 0, trialFirst
			s.credit, s.creditAt, s.unit, s.pace = 0, r.now, 0, 0
		}
		e.Weight = max(e.Weight, minWeight)
		s.Server = e
		s.role, s.capacity = r.set.KindRole[e.Kind], r.set.KindMemory[e.Kind]
	}
	slices.SortFunc(r.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.pool = [3]float64{}
	for _, s := range r.order {
		if ev.Full && !listed[s.ID] {
			s.State = Gone
		}
		if s.State == Ready {
			r.pool[s.role] += s.Weight
		}
	}
}
