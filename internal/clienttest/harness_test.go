// Package clienttest runs the public clients of OpenAI's API, unmodified, against a router with the
// demo's fake engines.
//
// It makes each kind of request once or a few times. It shows that the clients understand the
// router's answers and errors. It shows nothing about load, latency or the answers of models.
package clienttest

import (
	"io"
	"testing"

	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
)

const (
	fourTokens  = "snow on the roof " // the fake engines' answer to a request for four tokens
	chatEngines = "pool:chat"         // target that matches all engines of chats
)

// startCluster starts a router and fake engines, which are closed when the test ends. It returns
// them with the URL of the router.
func startCluster(t *testing.T) (cluster *demo.Cluster, baseURL string) {
	t.Helper()
	cluster, err := demo.Start(demo.Options{Listen: "127.0.0.1:0", Seed: 1, LogLevel: "error", Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		err := cluster.Close()
		if err != nil {
			t.Error(err)
		}
	})
	return cluster, "http://" + cluster.Service.Router.Addr()
}

// setFault sets the fault of all engines of chats.
func setFault(cluster *demo.Cluster, fault fakeengine.Fault) {
	for _, engine := range cluster.FindEngines(chatEngines) {
		engine.SetFault(fault)
	}
}
