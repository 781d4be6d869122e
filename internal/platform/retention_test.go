package platform

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"
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
			e.proxy.cut()
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
