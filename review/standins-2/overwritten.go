//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// overwritten: a server says that it is draining and has its acknowledgement. Then heartbeats under its
// ID come from another writer: they lack the field version, say ready, and have a count of their own.
func overwritten(s *system, trouble bool) (bool, error) {
	s.addControls(3)
	s.addGateways(3)
	servers, c, stop, err := s.plainService()
	defer stop()
	if err != nil {
		return false, err
	}
	leaving := servers[3]
	if len(leaving.reached()) == 0 {
		return false, errNoTraffic
	}
	leaving.setState("draining")
	by := leaving.register(context.Background())
	if by == nil {
		return false, errNoAck
	}
	ackedAt := time.Now()
	s.rec.say("%s says draining, acknowledged by %s", leaving.id, by.name)
	time.Sleep(500 * time.Millisecond)
	for n := 0; time.Since(ackedAt) < servesAfterAck; n++ {
		if trouble {
			if err := s.foreignHeartbeat(leaving, n); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Duration(s.heartbeatMS) * time.Millisecond)
	}
	leaving.exit()
	time.Sleep(500 * time.Millisecond)
	late := 0
	var first arrival
	for _, a := range leaving.reached() {
		if q := c.byID(a.id); q != nil && a.at.After(ackedAt.Add(drainTimeout)) {
			if late++; late == 1 {
				first = a
			}
		}
	}
	s.rec.say("requests that reached %s later than drainTimeoutMs after the acknowledgement: %d", leaving.id, late)
	if late > 0 {
		s.rec.say("the first was %s, %.1f s after the acknowledgement", first.id, first.at.Sub(ackedAt).Seconds())
	}
	return late > 0, nil
}

// foreignHeartbeat sends one heartbeat under a server's ID as another writer does.
func (s *system) foreignHeartbeat(sv *server, n int) error {
	body, _ := json.Marshal(map[string]any{
		"service": sv.service, "address": sv.addr, "zone": sv.zone, "slots": sv.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 100_000 + n, "born": sv.born,
	})
	m := s.controls[rand.IntN(len(s.controls))]
	req, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/instances/%s", m.ip, s.ports.control, sv.id), bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := sv.client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	s.rec.say("heartbeat without version under %s from another writer, to %s: answered %d", sv.id, m.name, resp.StatusCode)
	return nil
}
