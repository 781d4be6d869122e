package platform

import (
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
			for _, e := range f.engines[1:] {
				if test.isProxied {
					e.proxy.cut()
				} else {
					e.stop(t)
				}
			}
			requestID, _ := f.ask(test.class)
			f.checkRetention(requestID)
		})
	}
}
