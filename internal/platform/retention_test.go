package platform

import (
	"cmp"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martenlock/control"
)

// retentionSlack is what the platform allows on top of the retention limit of the settings.
const retentionSlack = 300 * time.Millisecond

// retentionLimit is KVRetentionLimit of testSettings with the platform's slack.
const retentionLimit = 500*time.Millisecond + retentionSlack

// checkRetention waits until the KV state of a request that was prefilled is taken or released,
// and fails the test where that took longer than the limit.
func (f *fleet) checkRetention(requestID string) {
	f.Helper()
	f.waitFor("the prefill", func() bool { return f.retainedFor(requestID) > 0 })
	f.waitFor("the KV state is taken or released", func() bool {
		age := f.retainedFor(requestID)
		time.Sleep(2 * time.Millisecond)
		return age > 2*retentionLimit || f.retainedFor(requestID) == age
	})
	if age := f.retainedFor(requestID); age > retentionLimit {
		f.Errorf("%s: KV state retained for %v, limit %v", requestID, age, retentionLimit)
	}
}

// TestKVStateReleasedBehindSilentConnections plays incident 38 on real processes: decode engines
// fall silent while their connections stay open, so that decode attempts leave the router whole
// and reach nobody. The KV state at the prefill engine has to be released within its limit,
// whatever the class of the request, and on idle connections as on new ones.
func TestKVStateReleasedBehindSilentConnections(t *testing.T) {
	for name, test := range map[string]struct {
		class     string
		isWarm    bool // idle connections to the engines exist
		isProxied bool // the connection is cut, else the process is stopped
	}{
		"process stopped, new connections":          {class: "ask"},
		"process stopped, idle connections":         {class: "ask", isWarm: true},
		"process stopped, not idempotent":           {class: "note", isWarm: true},
		"connection cut, new connections":           {class: "ask", isProxied: true},
		"connection cut, idle connections":          {class: "ask", isProxied: true, isWarm: true},
		"connection cut, request is not idempotent": {class: "note", isProxied: true, isWarm: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			decode := engineSpec{behavior: decodeBehavior, proxied: test.isProxied}
			f := startFleet(t, engineSpec{behavior: prefillBehavior}, decode, decode)
			for range 4 {
				if !test.isWarm {
					break
				}
				_, answered := f.ask(test.class)
				if answer := <-answered; answer.code != 200 {
					t.Fatalf("warming up: %d", answer.code)
				}
			}
			f.silence(f.engines[1:]...)
			requestID, _ := f.ask(test.class)
			f.checkRetention(requestID)
		})
	}
}

// silence has engines fall silent: those behind a proxy are cut off, the others stopped.
func (f *fleet) silence(engines ...*engineProcess) {
	f.Helper()
	for _, e := range engines {
		if e.proxy != nil {
			e.proxy.setCut(true)
		} else {
			e.stop(f)
		}
	}
}

// TestKVStateReleasedWhateverElseHappens: while a decode attempt is silent, its client leaves, the router is held
// up or shuts down, the connection is reset late, and most other engines are silent too.
func TestKVStateReleasedWhateverElseHappens(t *testing.T) {
	prefill := engineSpec{behavior: prefillBehavior}
	decode := engineSpec{behavior: decodeBehavior}
	proxied := engineSpec{behavior: decodeBehavior, proxied: true}
	for name, test := range map[string]struct {
		engines []engineSpec
		class   string // note where it is empty
		disturb func(f *fleet, conn net.Conn)
	}{
		"client leaves": {engines: []engineSpec{prefill, decode, decode}, disturb: func(f *fleet, conn net.Conn) {
			conn.Close()
		}},
		"router held up": {engines: []engineSpec{prefill, decode, decode}, disturb: func(f *fleet, conn net.Conn) {
			time.Sleep(200 * time.Millisecond)
			f.signal(syscall.SIGSTOP)
			time.Sleep(150 * time.Millisecond)
			f.signal(syscall.SIGCONT)
		}},
		"router shuts down": {engines: []engineSpec{prefill, decode, decode}, disturb: func(f *fleet, conn net.Conn) {
			f.signal(syscall.SIGTERM)
		}},
		"connection reset late, next one silent": {engines: []engineSpec{prefill, proxied, proxied}, class: "ask", disturb: func(f *fleet, conn net.Conn) {
			time.Sleep(200 * time.Millisecond)
			f.engines[1].proxy.reset()
			f.engines[2].proxy.reset()
		}},
		"five of six engines silent": {engines: []engineSpec{prefill, decode, decode, decode, decode, decode}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, test.engines...)
			for range 6 {
				_, answered := f.ask("ask")
				if answer := <-answered; answer.code != 200 {
					t.Fatalf("warming up: %d", answer.code)
				}
			}
			f.silence(f.engines[1:]...)
			requestID, conn, _ := f.askOn(cmp.Or(test.class, "note"))
			f.waitFor("the prefill", func() bool { return f.retainedFor(requestID) > 0 })
			if test.disturb != nil {
				test.disturb(f, conn)
			}
			f.checkRetention(requestID)
		})
	}
}

// TestKVStateOfEarlierPrefillReleased: a prefill whose connection was reset may have left KV state, as may one
// whose state a decode engine could not fetch. The further attempt is silent.
func TestKVStateOfEarlierPrefillReleased(t *testing.T) {
	for name, engines := range map[string][]engineSpec{
		"prefill reset":    {{behavior: prefillThenReset}, {behavior: prefillBehavior}, {behavior: decodeBehavior}},
		"KV state missing": {{behavior: prefillOnce}, {behavior: decodeKVStateMissing}, {behavior: decodeKVStateMissing}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, engines...)
			if engines[1].behavior == prefillBehavior {
				f.silence(f.engines[1])
			}
			var requestIDs []string
			for range 4 { // which prefill engine a request meets depends on its session
				requestID, _ := f.ask("note", "7f3a9c21e0b4d655", strconv.Itoa(1000+f.requests), "prefix=5c0f6e1a2b3d4c59,", "")
				requestIDs = append(requestIDs, requestID)
			}
			var retained string
			f.waitFor("a request meets the engine that retains its state", func() bool {
				i := slices.IndexFunc(requestIDs, func(id string) bool { return f.retainedFor(id) > 0 })
				if i >= 0 {
					retained = requestIDs[i]
				}
				return i >= 0
			})
			f.checkRetention(retained)
		})
	}
}

// randomSilence makes engines fall silent and come back at random, half of them by a cut connection, most of them
// at once now and then, until told to stop.
func (f *fleet) randomSilence(rng *rand.Rand, engines []*engineProcess, stop <-chan struct{}) {
	for {
		wait := time.Duration(50+rng.IntN(150)) * time.Millisecond
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		silent := engines[:1+rng.IntN(len(engines)-1)]
		f.silence(silent...)
		time.Sleep(time.Duration(100+rng.IntN(1400)) * time.Millisecond)
		for _, e := range silent {
			if e.proxy == nil {
				e.resume(f)
				continue
			}
			e.proxy.reset() // a link that comes back has forgotten its connections
			e.proxy.setCut(false)
		}
	}
}

// TestKVStateReleasedUnderRandomSilence plays a fleet of two routers and nine engines, of which up to all but one of the
// decode engines fall silent again and again under load: no KV state is retained past its limit, and
// every client has its answer in time. MARTENLOCK_TEST_SECONDS plays it for longer.
func TestKVStateReleasedUnderRandomSilence(t *testing.T) {
	const requestInterval = 25 * time.Millisecond
	seconds, err := strconv.Atoi(cmp.Or(os.Getenv("MARTENLOCK_TEST_SECONDS"), "4"))
	if err != nil {
		t.Fatal(err)
	}
	prefill, decode := engineSpec{behavior: prefillBehavior}, engineSpec{behavior: decodeBehavior}
	proxied := engineSpec{behavior: decodeBehavior, proxied: true}
	f := startFleet(t, prefill, prefill, prefill, decode, decode, decode, proxied, proxied, proxied)
	f.startRouter()
	stop := make(chan struct{})
	var trouble sync.WaitGroup
	trouble.Go(func() {
		f.randomSilence(rand.New(rand.NewPCG(38, uint64(seconds))), slices.Clone(f.engines[3:]), stop)
	})
	type asked struct {
		id       string
		answered <-chan clientAnswer
	}
	var all []asked
	for range time.Duration(seconds) * time.Second / requestInterval {
		class := []string{"ask", "ask", "ask", "note"}[len(all)%4]
		id, answered := f.ask(class, "7f3a9c21e0b4d655", strconv.Itoa(1000+f.requests))
		all = append(all, asked{id: id, answered: answered})
		time.Sleep(requestInterval)
	}
	served := 0
	for _, request := range all {
		select {
		case answer := <-request.answered:
			if answer.code == 200 {
				served++
			}
		case <-time.After(6 * time.Second): // the clients wait for 4 s
			t.Errorf("%s: no answer", request.id)
		}
	}
	close(stop)
	trouble.Wait()
	late := 0
	for _, request := range all {
		if age := f.retainedFor(request.id); age > retentionLimit {
			late++
			t.Errorf("%s: KV state retained for %v, limit %v: %v", request.id, age, retentionLimit, f.eventsOf(request.id))
		}
	}
	t.Logf("%d requests, %d served, %d retained past the limit", len(all), served, late)
}

// TestPrefillIsHeldUntilReleaseIsConfirmed: the release of what an earlier prefill may have left is answered before
// the further prefill is sent, and where no engine answers it, nothing is sent.
func TestPrefillIsHeldUntilReleaseIsConfirmed(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	var mu sync.Mutex
	var order []string
	answersReleases := make(chan struct{})
	for _, e := range w.engines {
		e.setScript(func(r *recordedRequest) bool {
			if r.method == "DELETE" {
				<-answersReleases
			}
			mu.Lock()
			order = append(order, r.method+" "+r.engine.flavor)
			isFirstDecode := len(order) == 2
			mu.Unlock()
			if isFirstDecode && r.engine.flavor == "w1" {
				return r.write(status(410, "X-Rejected: 1\r\n"))
			}
			return wellBehaved(r)
		})
	}
	answered := make(chan clientAnswer, 1)
	go func() { answered <- w.roundTrip(w.chat("ask")) }()
	w.waitOnLoop("the second prefill is held", func() bool {
		for _, x := range w.server.exchanges.byID {
			if x.attempt != nil && x.attempt.deferred != nil {
				return true
			}
		}
		return false
	})
	if n := w.postCounts(); n[0] != 1 || n[1] != 1 {
		t.Errorf("%v attempts before the release is answered", n)
	}
	close(answersReleases)
	if answer := <-answered; answer.code != 200 {
		t.Errorf("answered %d", answer.code)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(order) < 4 || !strings.HasPrefix(order[2], "DELETE") {
		t.Errorf("engines saw %v", order)
	}
}

// TestHeldPrefillEndsAsNotSent: an attempt is not held past its client's time, and not sent to an engine that
// drains by then.
func TestHeldPrefillEndsAsNotSent(t *testing.T) {
	for name, drains := range map[string]bool{"no engine answers the release": false, "the engine drains": true} {
		t.Run(name, func(t *testing.T) {
			w := startHarness(t, "r1", "w1", "w1")
			answersReleases := make(chan struct{})
			for _, e := range w.engines {
				e.setScript(func(r *recordedRequest) bool {
					switch {
					case r.method == "DELETE":
						<-answersReleases
					case r.engine.flavor == "w1":
						return r.write(status(410, "X-Rejected: 1\r\n"))
					}
					return wellBehaved(r)
				})
			}
			answered := make(chan clientAnswer, 1)
			go func() { answered <- w.roundTrip(w.chat("ask", "4000m", "700m")) }()
			w.waitOnLoop("the second prefill is held", func() bool {
				for _, x := range w.server.exchanges.byID {
					if x.attempt != nil && x.attempt.deferred != nil {
						return true
					}
				}
				return false
			})
			if drains {
				w.notifyChange(w.engines[0].entry("terminating", 0))
				w.waitOnLoop("the engine drains", func() bool {
					member, _ := w.server.membership.Get((&endpointEntry{ID: w.engines[0].id}).endpointID())
					return member.State == control.Draining
				})
				close(answersReleases)
			} else {
				defer close(answersReleases)
			}
			if answer := <-answered; answer.code != 503 {
				t.Errorf("answered %d, want 503", answer.code)
			}
			if n := w.postCounts(); n[0] != 1 {
				t.Errorf("%d attempts at the prefill engine", n[0])
			}
		})
	}
}

// TestDecodeRetryWithdrawsPendingRelease: a decode engine that rejects the request late proves that the attempt had
// arrived; the next one gets the KV state, though its release was asked for meanwhile and no engine has answered.
func TestDecodeRetryWithdrawsPendingRelease(t *testing.T) {
	w := startHarness(t, "r1", "w1", "w1")
	ended := make(chan struct{})
	defer close(ended)
	asked := make(chan struct{})
	var once sync.Once
	for _, e := range w.engines {
		e.setScript(func(r *recordedRequest) bool {
			switch {
			case r.method == "DELETE":
				once.Do(func() { close(asked) })
				<-ended
				return false
			case r.engine.flavor == "w1":
				isFirst := w.postCounts()[1]+w.postCounts()[2] == 1
				if isFirst {
					<-asked
					return r.write(status(503, "X-Rejected: 1\r\n"))
				}
			}
			return wellBehaved(r)
		})
	}
	if answer := w.roundTrip(w.chat("ask")); answer.code != 200 {
		t.Errorf("answered %d", answer.code)
	}
	w.waitOnLoop("nothing is pending", func() bool { return w.server.kvReleases.scheduler.Len() == 0 })
}
