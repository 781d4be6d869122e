package platform

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// retentionSlack is the time that the platform allows beyond the configured retention limit.
const retentionSlack = 300 * time.Millisecond

// retentionLimit is KVRetentionLimit of testSettings plus retentionSlack.
const retentionLimit = 500*time.Millisecond + retentionSlack

// expectReleasedInTime waits until the KV state of a request is retained and then fetched or
// released, and fails the test if it was retained for longer than retentionLimit.
func (c *cluster) expectReleasedInTime(requestID string) {
	c.Helper()
	c.waitForPrefill(requestID)
	waitFor(c.T, "the KV state to be fetched or released", func() bool {
		age := c.retainedFor(requestID)
		time.Sleep(2 * time.Millisecond)
		return age > 2*retentionLimit || c.retainedFor(requestID) == age
	})
	if age := c.retainedFor(requestID); age > retentionLimit {
		c.Errorf("%s: KV state retained for %v, limit %v", requestID, age, retentionLimit)
	}
}

// waitForPrefill waits until a request has left KV state at a prefill engine.
func (c *cluster) waitForPrefill(requestID string) {
	c.Helper()
	waitFor(c.T, "the prefill", func() bool { return c.retainedFor(requestID) > 0 })
}

// TestKVStateReleasedWhileDecodeEnginesAreUnresponsive: if decode engines become unresponsive while
// their connections stay open, decode attempts are written completely but never processed. The KV
// state at the prefill engine is still released within its limit.
func TestKVStateReleasedWhileDecodeEnginesAreUnresponsive(t *testing.T) {
	for name, test := range map[string]struct {
		class     string
		isWarm    bool // attempts use idle connections, else new ones
		isProxied bool // the connections are cut, else the processes are stopped
	}{
		"process stopped, new connections":  {class: "ask"},
		"process stopped, idle connections": {class: "ask", isWarm: true},
		"process stopped, not idempotent":   {class: "note", isWarm: true},
		"connection cut, new connections":   {class: "ask", isProxied: true},
		"connection cut, idle connections":  {class: "ask", isProxied: true, isWarm: true},
		"connection cut, not idempotent":    {class: "note", isProxied: true, isWarm: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			decode := engineSpec{behavior: decodeBehavior, proxied: test.isProxied}
			c := startCluster(t, engineSpec{behavior: prefillBehavior}, decode, decode)
			if test.isWarm {
				c.warmUp(test.class, 4)
			}
			c.silence(c.engines[1:]...)

			request := c.send(test.class)

			c.expectReleasedInTime(request.id)
		})
	}
}

// silence makes engines unresponsive. It cuts the connections of an engine behind a proxy, and stops
// the process of any other engine.
func (c *cluster) silence(engines ...*engineProcess) {
	c.Helper()
	for _, e := range engines {
		if e.proxy != nil {
			e.proxy.setCut(true)
		} else {
			e.stop(c.T)
		}
	}
}

// TestKVStateReleasedDespiteFurtherFaults: KV state is released in time if, while the decode engine is
// unresponsive, the client leaves, the router pauses or shuts down, the connection is reset, or most
// other engines are unresponsive too.
func TestKVStateReleasedDespiteFurtherFaults(t *testing.T) {
	prefill := engineSpec{behavior: prefillBehavior}
	decode := engineSpec{behavior: decodeBehavior}
	proxied := engineSpec{behavior: decodeBehavior, proxied: true}
	for name, test := range map[string]struct {
		engines []engineSpec
		class   string // "note" if empty
		disturb func(c *cluster, client net.Conn)
	}{
		"client leaves": {engines: []engineSpec{prefill, decode, decode}, disturb: func(_ *cluster, client net.Conn) {
			client.Close()
		}},
		"router paused": {engines: []engineSpec{prefill, decode, decode}, disturb: func(c *cluster, _ net.Conn) {
			time.Sleep(200 * time.Millisecond)
			c.signal(syscall.SIGSTOP)
			time.Sleep(150 * time.Millisecond)
			c.signal(syscall.SIGCONT)
		}},
		"router shuts down": {engines: []engineSpec{prefill, decode, decode}, disturb: func(c *cluster, _ net.Conn) {
			c.signal(syscall.SIGTERM)
		}},
		"connection reset late, next engine unresponsive": {engines: []engineSpec{prefill, proxied, proxied}, class: "ask", disturb: func(c *cluster, _ net.Conn) {
			time.Sleep(200 * time.Millisecond)
			c.engines[1].proxy.reset()
			c.engines[2].proxy.reset()
		}},
		"five of six engines unresponsive": {engines: []engineSpec{prefill, decode, decode, decode, decode, decode}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, test.engines...)
			c.warmUp("ask", 6)
			c.silence(c.engines[1:]...)
			request := c.send(cmp.Or(test.class, "note"))
			c.waitForPrefill(request.id)

			if test.disturb != nil {
				test.disturb(c, request.conn)
			}

			c.expectReleasedInTime(request.id)
		})
	}
}

// TestKVStateOfEarlierPrefillReleased: after a prefill, its connection is reset or a decode engine can't
// fetch its KV state. The KV state is released in time even though the next prefill gets no response.
func TestKVStateOfEarlierPrefillReleased(t *testing.T) {
	for name, engines := range map[string][]engineSpec{
		"prefill reset":    {{behavior: prefillThenReset}, {behavior: prefillBehavior}, {behavior: decodeBehavior}},
		"KV state missing": {{behavior: prefillOnce}, {behavior: decodeKVStateMissing}, {behavior: decodeKVStateMissing}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, engines...)
			if engines[1].behavior == prefillBehavior {
				c.silence(c.engines[1])
			}

			var requests []sentRequest
			for range 4 { // the session decides which prefill engine a request is forwarded to
				requests = append(requests, c.send("note", "7f3a9c21e0b4d655", strconv.Itoa(1000+c.requestCount), "prefix=5c0f6e1a2b3d4c59,", ""))
			}

			var retained string
			waitFor(t, "an engine to retain KV state", func() bool {
				i := slices.IndexFunc(requests, func(r sentRequest) bool { return c.retainedFor(r.id) > 0 })
				if i >= 0 {
					retained = requests[i].id
				}
				return i >= 0
			})
			c.expectReleasedInTime(retained)
		})
	}
}

// randomSilence repeatedly makes a random set of engines unresponsive for a while, until stop is closed. At
// least one of them always responds.
func (c *cluster) randomSilence(rng *rand.Rand, engines []*engineProcess, stop <-chan struct{}) {
	for {
		wait := time.Duration(50+rng.IntN(150)) * time.Millisecond
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		silent := engines[:1+rng.IntN(len(engines)-1)]
		c.silence(silent...)
		time.Sleep(time.Duration(100+rng.IntN(1400)) * time.Millisecond)
		for _, e := range silent {
			if e.proxy == nil {
				e.resume(c.T)
				continue
			}
			e.proxy.reset() // connections do not survive the outage of a link
			e.proxy.setCut(false)
		}
	}
}

// TestKVStateReleasedWhileRandomEnginesAreUnresponsive: two routers and nine engines are under load, and
// up to five of the six decode engines are unresponsive at a time. No KV state is retained past its
// limit, and every client is answered in time. MARTENLOCK_TEST_SECONDS sets the duration of the load in
// seconds.
func TestKVStateReleasedWhileRandomEnginesAreUnresponsive(t *testing.T) {
	const requestInterval = 25 * time.Millisecond
	seconds, err := strconv.Atoi(cmp.Or(os.Getenv("MARTENLOCK_TEST_SECONDS"), "4"))
	if err != nil {
		t.Fatal(err)
	}
	prefill, decode := engineSpec{behavior: prefillBehavior}, engineSpec{behavior: decodeBehavior}
	proxied := engineSpec{behavior: decodeBehavior, proxied: true}
	c := startCluster(t, prefill, prefill, prefill, decode, decode, decode, proxied, proxied, proxied)
	c.startRouter()
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		c.randomSilence(rand.New(rand.NewPCG(38, uint64(seconds))), slices.Clone(c.engines[3:]), stop)
	})

	var requests []sentRequest
	for range time.Duration(seconds) * time.Second / requestInterval {
		class := []string{"ask", "ask", "ask", "note"}[len(requests)%4]
		requests = append(requests, c.send(class, "7f3a9c21e0b4d655", strconv.Itoa(1000+c.requestCount)))
		time.Sleep(requestInterval)
	}

	served := c.expectAnswers(requests)
	close(stop)
	faults.Wait()
	late := 0
	for _, request := range requests {
		if age := c.retainedFor(request.id); age > retentionLimit {
			late++
			t.Errorf("%s: KV state retained for %v, limit %v; events: %v", request.id, age, retentionLimit, c.eventsOf(request.id))
		}
	}
	t.Logf("%d requests, %d served, %d retained past the limit", len(requests), served, late)
}

// expectAnswers fails the test unless each request is answered in time. It returns how many were
// served.
func (c *cluster) expectAnswers(requests []sentRequest) (served int) {
	c.Helper()
	const maxWait = 6 * time.Second // above the clients' time budget of 4 s
	for _, request := range requests {
		select {
		case answer := <-request.answered:
			if answer.Code == http.StatusOK {
				served++
			}
		case <-time.After(maxWait):
			c.Errorf("%s: no answer within %v", request.id, maxWait)
		}
	}
	return served
}
