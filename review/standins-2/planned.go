//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// catchUp is catchUpS of the deployment, with a margin.
	catchUp = 4*time.Second + 2*time.Second
	// readBack is how long the configuration is read back after the last machine is back, and recovery is
	// recoveryS: what is read later is judged.
	readBack = 30 * time.Second
	recovery = 12 * time.Second
)

// planned: a control machine is replaced as planned, the new one first. Its successor has had more than
// catchUpS when the old one gets SIGTERM and ends. Half a second later another control machine loses its disk;
// with SECOND=removed that one is replaced as planned as well, by a successor that has had the same time.
func planned(s *system, trouble bool) (bool, error) {
	delay := 500 * time.Millisecond
	if d, err := time.ParseDuration(os.Getenv("DELAY")); err == nil {
		delay = d
	}
	second := os.Getenv("SECOND")
	s.addControls(3)
	if err := s.startAll(); err != nil {
		return false, err
	}
	op := &operator{s: s, http: newHTTPClient(time.Second)}
	routes := []route{{Name: "r1", Host: "ping.example", Prefix: "/ping/", Kind: "unsafe", Service: "yard", TimeoutMS: 600, MaxAttempts: 2}}
	for v := 1; v <= 3; v++ {
		if err := op.put(v, configuration(v, routes, []string{"yard"}, "key1"), 15*time.Second); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	old, another := s.controls[0], s.controls[1]
	seeds := s.seeds()
	s.seedNodes = seeds
	successors := []*machine{s.newMachine("core", 3, 13, old.zone, false)}
	if second == "removed" {
		successors = append(successors, s.newMachine("core", 4, 14, another.zone, false))
	}
	for _, m := range successors {
		s.controls = append(s.controls, m)
		if err := s.start(m); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp)
	s.signal(old, syscall.SIGTERM)
	<-old.exited
	s.controls = s.controls[1:]
	switch {
	case trouble && second == "removed":
		time.Sleep(delay)
		s.signal(another, syscall.SIGTERM)
		<-another.exited
		s.controls = s.controls[1:]
	case trouble:
		time.Sleep(delay)
		s.kill(another)
		s.wipe(another)
		time.Sleep(time.Second)
		if err := s.start(another); err != nil {
			return false, err
		}
	}
	last := time.Now()
	read, answers := 0, 0
	for n := 0; time.Since(last) < readBack; n++ {
		m := s.controls[n%len(s.controls)]
		status, body, err := op.call(http.MethodGet, op.controlURL(m, "/configuration"), nil)
		var c struct{ Version int }
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &c) == nil {
			if time.Since(last) > recovery {
				read = max(read, c.Version)
				answers++
			}
		}
		s.rec.log("read at %s: %d version %d %v", m.name, status, c.Version, err)
		time.Sleep(300 * time.Millisecond)
	}
	s.rec.say("version 3 was acknowledged; read back from %v to %v after the last machine was back: version %d, %d answers", recovery, readBack, read, answers)
	return read < 3, nil
}
