// Package clienttest runs the public clients of OpenAI's API, unmodified, against a router with the
// demo's fake engines.
//
// Each client makes a few requests of several kinds. The tests show that the clients can parse the
// router's responses and errors. They say nothing about load, latency or the responses of models.
package clienttest

import (
	"io"
	"testing"

	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
)

const (
	fourTokenText = "snow on the roof " // text of the fake engines' response with four tokens
	chatEngines   = "pool:chat"         // target that selects all engines of the pool chat
)

// startCluster starts a router and fake engines, and closes them when the test ends. baseURL is the
// router's URL without a path.
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

// setFault sets the fault of all engines of the pool chat. The zero Fault ends it.
func setFault(cluster *demo.Cluster, fault fakeengine.Fault) {
	for _, engine := range cluster.FindEngines(chatEngines) {
		engine.SetFault(fault)
	}
}
