//go:build review

package main

import (
	"os"
	"time"
)

const (
	contactWindow = 3 * time.Second
	// inTouchAfter is when machines are in touch again after a final fault: twice contactWindowMs, and a
	// margin for the clock of the script.
	inTouchAfter = 2*contactWindow + 200*time.Millisecond
	drainTimeout = 2 * time.Second
	// servesAfterAck is how long a server that leaves goes on: drainTimeoutMs and many seconds.
	servesAfterAck = 12 * time.Second
	// savePeriod and saveOffset place the departure right after a control machine may have written a
	// file, so that the result of a run doesn't depend on chance.
	savePeriod = 2 * time.Second
	saveOffset = 500 * time.Millisecond
)

// departure: a server sends DELETE and gets its acknowledgement; a second later all processes are killed at
// the same moment, and are back within a second. DELAY sets the time between, GATEWAYS=0 spares the gateways.
func departure(s *system, trouble bool) (bool, error) {
	delay := time.Second
	if d, err := time.ParseDuration(os.Getenv("DELAY")); err == nil {
		delay = d
	}
	killGateways := os.Getenv("GATEWAYS") != "0"
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
	since := time.Since(s.controls[0].started)
	time.Sleep((since/savePeriod+1)*savePeriod + saveOffset - since)
	by := leaving.deregister()
	if by == nil {
		return false, errNoAck
	}
	ackedAt := time.Now()
	s.rec.say("DELETE of %s acknowledged by %s", leaving.id, by.name)
	lastEvent := ackedAt
	if trouble {
		time.Sleep(delay)
		all := append([]*machine(nil), s.controls...)
		if killGateways {
			all = append(all, s.gateways...)
		}
		s.kill(all...)
		time.Sleep(300 * time.Millisecond)
		for _, m := range all {
			if err := s.start(m); err != nil {
				return false, err
			}
		}
		lastEvent = time.Now()
	}
	time.Sleep(time.Until(ackedAt.Add(servesAfterAck)))
	leaving.exit()
	time.Sleep(500 * time.Millisecond)
	late, inTouch := 0, 0
	for _, a := range leaving.reached() {
		q := c.byID(a.id)
		if q == nil || a.at.Before(ackedAt.Add(drainTimeout)) {
			continue
		}
		late++
		if q.at.Sub(lastEvent) > inTouchAfter {
			inTouch++
		}
	}
	s.rec.say("requests that reached %s later than drainTimeoutMs after the acknowledgement: %d, of these sent by machines in touch: %d", leaving.id, late, inTouch)
	return inTouch > 0, nil
}
