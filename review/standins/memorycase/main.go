//go:build review

// Command memorycase plays unsafe requests to sound servers while one server of another service sends bytes
// that are not a response, and checks the rule LOST.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/snipereach/snipereach/review/standins/harness"
)

const (
	slots = 12
	// work is how long a sound server works on a request.
	work     = 150 * time.Millisecond
	deadline = 1500 * time.Millisecond
	// clients send unsafe requests to each gateway, streamers streams to the service with the faulty server.
	clients   = 12
	streamers = 3
	ordinary  = 5 * time.Second
	observed  = 20 * time.Second
	// allowedLost is how often a machine may close a kept connection without an answer by the rule LOST.
	allowedLost = 3
)

func main() { harness.Main(run) }

// machine is what the clients have seen of one gateway.
type machine struct {
	*harness.Process
	mu sync.Mutex
	// whole counts whole answers, lost the requests from kept connections that a sound server began to run and
	// whose connection ended without an answer.
	whole, lost int
	kills       int
}

func run(c *harness.Case) (int, error) {
	r, sys := c.Record, c.System
	gateways, sound, err := c.StartPlain(int(deadline.Milliseconds()), slots, work)
	if err != nil {
		return 0, err
	}
	faulty, err := harness.NewGarbage(r, "i-02d9e6b4", harness.ModelName, 0, slots, work)
	if err != nil {
		return 0, err
	}
	sys.KeepRegistered(faulty.Instance, faulty.Registration)
	if err := c.Sleep(2 * time.Second); err != nil {
		return 0, err
	}

	stop := make(chan struct{})
	var done sync.WaitGroup
	spawn := func(f func()) {
		done.Add(1)
		go func() { defer done.Done(); f() }()
	}
	var machines []*machine
	for _, g := range gateways {
		m := &machine{Process: g}
		machines = append(machines, m)
		spawn(func() { g.EnforceMemory(harness.FrontendMemoryMb, stop, m.countKill) })
		for range clients {
			spawn(func() { m.callUnsafe(r, sound, stop) })
		}
		for range streamers {
			spawn(func() { m.callStreams(stop) })
		}
	}
	err = play(c, machines, faulty)
	close(stop)
	done.Wait()
	if err != nil {
		return 0, err
	}
	return judge(r, machines)
}

// play plays the ordinary part, and then the disruption.
func play(c *harness.Case, machines []*machine, faulty *harness.Garbage) error {
	if err := c.Sleep(ordinary); err != nil {
		return err
	}
	for _, m := range machines {
		if _, lost, _ := m.counts(); lost > 0 {
			return fmt.Errorf("%s lost %d requests before the disruption", m.Name, lost)
		}
	}
	if c.Trouble {
		faulty.Begin()
	}
	return c.Sleep(observed)
}

// judge is the rule LOST: a machine passes a request from a kept connection on to a sound server and closes that
// connection without an answer, more than three times.
func judge(r *harness.Record, machines []*machine) (int, error) {
	code := harness.Held
	for _, m := range machines {
		whole, lost, kills := m.counts()
		r.Add("%s: %d whole answers, %d times killed by the platform for its memory, %d requests from kept connections passed on to sound servers and not answered", m.Name, whole, kills, lost)
		if whole == 0 {
			return 0, fmt.Errorf("%s served nothing", m.Name)
		}
		if lost > allowedLost {
			r.Add("rule LOST broken at %s: %d times, more than %d", m.Name, lost, allowedLost)
			code = harness.Broken
		}
	}
	if code == harness.Held {
		r.Add("rule LOST held")
	}
	return code, nil
}

func (m *machine) countKill(int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kills++
}

func (m *machine) counts() (whole, lost, kills int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.whole, m.lost, m.kills
}

// callUnsafe sends one unsafe request after the other on a connection that it keeps.
func (m *machine) callUnsafe(r *harness.Record, sound []*harness.Plain, stop <-chan struct{}) {
	c := harness.NewClient()
	for !isClosed(stop) {
		a := harness.Do(c, m.Address, harness.UnsafeRequest(deadline))
		ran := harness.RunsOf(sound, a.ID)
		m.mu.Lock()
		switch {
		case a.Whole():
			m.whole++
		case a.Err != nil && a.Reused && ran > 0 && a.EndedAt.Sub(a.SentAt) < deadline:
			m.lost++
			r.Add("%s ran at a sound server, and %s closed its kept connection after %.3f s without an answer: %v", a.ID, m.Name, a.EndedAt.Sub(a.SentAt).Seconds(), a.Err)
		default:
			r.Add("%s at %s: status %d, ran %d times, kept connection %v, %v", a.ID, m.Name, a.Status, ran, a.Reused, a.Err)
		}
		m.mu.Unlock()
		if a.Status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// callStreams sends one request after the other to the service with the faulty server.
func (m *machine) callStreams(stop <-chan struct{}) {
	c := harness.NewClient()
	for !isClosed(stop) {
		a := harness.Do(c, m.Address, harness.Request{
			Method: http.MethodPost, Host: harness.Host, Path: harness.StreamPath + "2f", Key: harness.Key, Deadline: 8 * time.Second, Body: make([]byte, 700),
		})
		if a.Status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
