//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	slowWork       = 2200 * time.Millisecond
	slowDeadlineMS = 2500
	gracePeriod    = 8 * time.Second
	// lateFrom and lateUntil are when requests are sent after SIGTERM: callers keep the list of gateways for
	// three times its ttlS of 2 s at most.
	lateFrom, lateUntil = 5500 * time.Millisecond, 5950 * time.Millisecond
)

// stopping: a gateway gets SIGTERM. Unsafe requests with a deadline of 2.5 s, on which sound servers work for
// 2.2 s, are sent to it 5.5 to 6 s later by callers that still have it on their list.
func stopping(s *system, trouble bool) (bool, error) {
	s.addControls(3)
	s.addGateways(2)
	if err := s.startAll(); err != nil {
		return false, err
	}
	op := &operator{s: s, http: newHTTPClient(2 * time.Second)}
	routes := []route{{Name: "r1", Host: "ping.example", Prefix: "/ping/", Kind: "unsafe", Service: "yard", TimeoutMS: slowDeadlineMS, MaxAttempts: 2}}
	if err := op.put(1, configuration(1, routes, []string{"yard"}, "key1"), 15*time.Second); err != nil {
		return false, err
	}
	var servers []*server
	for i, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		sv, err := newServer(s, id, "yard", s.zones[i%3], 100+i, slowWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, sv)
		sv.beat()
		defer sv.exit()
		defer sv.stopBeats()
	}
	c := newClient(s, "key1")
	c.deadlineMS = slowDeadlineMS
	if err := c.waitServed("ping.example", "/ping/x", 30*time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.load(ctx, 6, func() *machine { return s.gateways[rand.IntN(len(s.gateways))] }, http.MethodPost, "ping.example", "/ping/x", slowDeadlineMS)
	time.Sleep(8 * time.Second)
	stopped := s.gateways[0]
	at := time.Now()
	if trouble {
		s.signal(stopped, syscall.SIGTERM)
	}
	time.Sleep(lateFrom)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var late []*sent
	for time.Since(at) < lateUntil {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := c.send(stopped, http.MethodPost, "ping.example", "/ping/x", slowDeadlineMS, []byte("body"))
			mu.Lock()
			defer mu.Unlock()
			late = append(late, q)
		}()
		time.Sleep(75 * time.Millisecond)
	}
	time.Sleep(time.Until(at.Add(gracePeriod)))
	cancel()
	wg.Wait()
	ran := map[string]string{}
	for _, sv := range servers {
		for _, a := range sv.reached() {
			ran[a.id] = sv.id
		}
	}
	lost := 0
	for _, q := range late {
		if q.err != nil && ran[q.id] != "" {
			lost++
			s.rec.say("request %s, sent %.2f s after SIGTERM, runs at %s and its connection ends without an answer: %v", q.id, q.at.Sub(at).Seconds(), ran[q.id], q.err)
		}
	}
	s.rec.say("%d requests sent late to %s, %d of them ran and got no answer", len(late), stopped.name, lost)
	return lost > 0, nil
}
