package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["slow-discovery"] = playSlowDiscovery
}

const platformSettings = `{"Balancers":4,"Rank":0,"Zone":0,"Zones":["ljubljana","celje","maribor"],"HostTypes":["r1","w1"],"Family":"twostage",
"FamilyInfo":{"KindRole":["read","write"],"TokensByKind":[200000,200000],"PinLimitUs":500000,"AimUsPer1000PromptTokens":[60000,120000],"TokenAimUs":[50000,80000],"Resume":true},
"Limits":{"AttemptsCap":5,"Cancelling":true,"ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MaxRetryAfterUs":1000000,"MostHeld":1000,"Probes":false,"RetryAfter":true},
"LoadReport":{"Fields":[],"How":"silent"},"MembershipMode":"push",
"RequestClasses":[{"Name":"ask","AimUs":1000000,"DeadlineUs":4000000,"Effect":"idempotent","LateWorth":0.3,"Worth":1,"Streamed":true},
{"Name":"note","AimUs":2500000,"DeadlineUs":12000000,"Effect":"at_most_once","LateWorth":0.2,"Worth":3,"Streamed":true}],
"Rules":{"ColdFrom":0.4,"ColdUs":5000000,"DrainGraceUs":2000000,"FallMultiple":2.5,"FallUs":3000000,"GraceToAnswerUs":8000}}`

// Figures of the pages.
const (
	toldAfter     = 6 * time.Second
	platformGrace = 2*time.Second + 50*time.Millisecond
	stopAfter     = 12 * time.Second // of draining engines, after the router was ready
	requests      = 400
	fleet         = 24
)

// playSlowDiscovery: the list that a router held last is out of date when it starts. A quarter of the engines have begun
// to drain since, and discovery tells it. Discovery is slow: its answer to each call begins 1 s after the call. The
// engines that drain are stopped when that is long over.
func playSlowDiscovery(s *scene) {
	wait := time.Second
	if !s.hasTrouble {
		wait = 0
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Duration{} // by engine
	known := memberList{Revision: 41, Complete: true}
	zones := []string{"ljubljana", "celje", "maribor"}
	upSince := time.Now().Add(-72 * time.Hour).UnixMilli()
	servers := map[string]*http.Server{}
	for i := range fleet {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		s.must(err)
		m := member{
			ID: fmt.Sprintf("s-%08x", 0x5be2a07c+i*7919), HostPort: listener.Addr().String(), Locality: zones[i%3],
			Flavor: []string{"r1", "w1"}[i%2], Cell: i / 4, Phase: "in_service", Size: 1, UpSince: upSince + int64(i),
		}
		server := &http.Server{Handler: platformEngine(m.Flavor, func(string) {
			mu.Lock()
			defer mu.Unlock()
			arrivals[m.ID] = append(arrivals[m.ID], s.clock())
		})}
		servers[m.ID] = server
		go func() { _ = server.Serve(listener) }()
		known.Members = append(known.Members, m)
	}
	current := memberList{Revision: 57, Complete: true}
	draining := map[string]bool{}
	for i, m := range known.Members {
		if i%8 < 2 {
			m.Phase = "terminating"
			draining[m.ID] = true
		}
		current.Members = append(current.Members, m)
	}
	d := startDiscovery(s, current, wait)
	s.note("%d engines, %d of them drain since the list that the router held last", fleet, len(draining))
	s.startPlatformRouter(map[string]any{
		"name": "n1", "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 0.5, "memory_mb": 128, "sockets": 512},
		"known":  known, "settings": json.RawMessage(platformSettings),
	})
	readyAt := s.clock()
	time.AfterFunc(stopAfter, func() {
		s.note("the engines that drain are stopped")
		for id := range draining {
			_ = servers[id].Close()
		}
	})
	var all sync.WaitGroup
	served, refused, lost := 0, 0, 0
	for i := range requests {
		all.Go(func() {
			got := s.call(fmt.Sprintf("%016x", 0x1b1f03aa5c7e0000+i), "note", 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.err == nil && got.status == http.StatusOK:
				served++
			case got.err == nil && got.status == http.StatusServiceUnavailable:
				refused++
			default:
				lost++
				s.note("request %d failed: %v", i, got)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	all.Wait()
	s.note("%d requests: %d served, %d refused, %d failed or cut off", requests, served, refused, lost)
	late, inTime := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for id, times := range arrivals {
		for _, at := range times {
			switch {
			case !draining[id]:
			case at <= readyAt+toldAfter+platformGrace:
				inTime++
			default:
				late++
				s.note("%s, which drains, got an attempt %.3f s after the router was ready", id, (at - readyAt).Seconds())
			}
		}
	}
	s.note("%d attempts went to draining engines before the bound, %d after it", inTime, late)
	if late > 0 {
		s.end(exitBroken, fmt.Sprintf("%d attempts went to draining engines more than %v after the router was ready; %d requests were lost when these engines were stopped", late, toldAfter+platformGrace, lost))
	}
	if served < requests/2 {
		s.end(exitNotRun, "too few requests were served")
	}
	s.end(exitHeld, "no attempt went to a draining engine after the bound")
}
