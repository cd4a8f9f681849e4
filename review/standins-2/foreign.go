//go:build review

package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"
)

// foreign: a server of another deployment sends its heartbeats here. They name a service that no
// configuration names; its group has the same name as ours. It has no callers yet, so it makes no passes.
func foreign(s *system, trouble bool) (bool, error) {
	ranks := 16
	if n, err := strconv.Atoi(os.Getenv("RANKS")); err == nil {
		ranks = n
	}
	s.addControls(3)
	s.addGateways(2)
	s.sideApps = map[string]string{}
	var ips, otherIPs []string
	for i := range ranks {
		m := s.newMachine("side", i, 100+i, s.zones[i%3], true)
		s.sides = append(s.sides, m)
		ips, otherIPs = append(ips, m.ip), append(otherIPs, s.address(200+i))
	}
	g, err := newGroup(s, "g0-0", "repair", "i-3a%02d", ips)
	if err != nil {
		return false, err
	}
	defer g.close()
	other, err := newGroup(s, "g0-0", "another", "i-c7%02d", otherIPs)
	if err != nil {
		return false, err
	}
	defer other.close()
	for i, m := range s.sides {
		s.sideApps[m.name] = g.ranks[i].local
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, r := range g.ranks {
		go r.beat(ctx)
	}
	stranger := other.ranks[3%ranks]
	if trouble {
		s.rec.say("%s, rank %d of group %s of service %q, sends its heartbeats here", stranger.id, stranger.index, other.name, other.service)
		go stranger.beat(ctx)
	}
	op := &operator{s: s, http: newHTTPClient(2 * time.Second)}
	if err := op.put(1, engineConfiguration(1, "repair", "key1"), 15*time.Second); err != nil {
		return false, err
	}
	c := newClient(s, "key1")
	if err := c.waitServed("llm.example", "/gen/x", 20*time.Second); err != nil {
		return false, err
	}
	go c.load(ctx, 20, func() *machine { return s.gateways[rand.IntN(len(s.gateways))] }, http.MethodPost, "llm.example", "/gen/x", 8000)
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		g.mu.Lock()
		n := len(g.violations)
		g.mu.Unlock()
		if n > 0 {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	served := 0
	c.mu.Lock()
	for _, q := range c.requests {
		if q.status == http.StatusOK && q.err == nil {
			served++
		}
	}
	c.mu.Unlock()
	s.rec.say("%d passes, %d changes of map, %d requests served, %d orders to the server of the other deployment, %d passes with different maps", g.step, g.switches, served, stranger.orders, len(g.violations))
	if len(g.violations) > 0 {
		s.rec.say("%s", g.violations[0])
	}
	if g.switches == 0 {
		return false, errors.New("the map was never changed")
	}
	return len(g.violations) > 0, nil
}
