//go:build review

// Command draincase stops one of two gateways with SIGTERM while clients send unsafe requests whose servers work
// for two seconds, and checks the rule LOST around planned work. It is no case of the review: REPORT.md names it.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/snipereach/snipereach/review/standins/harness"
)

const (
	slots = 12
	// work is how long a server works on a request, timeoutMs and deadline those of the requests: the longest of
	// unsafe requests in the users' pages.
	work      = 2200 * time.Millisecond
	timeoutMs = 2500
	deadline  = timeoutMs * time.Millisecond
	clients   = 24
	// listKept is how long clients use a list of gateways: three times the ttlS of 2 that it came with, as
	// PROTOCOL.md says of some.
	listKept = 6 * time.Second
	// excusedUntil is when after the SIGTERM a request may have been sent whose answer may be cut in the last sixth
	// of gracePeriodS.
	excusedUntil = 3 * time.Second
)

func main() { harness.Main(run) }

func run(c *harness.Case) (int, error) {
	gateways, servers, err := c.StartPlain(timeoutMs, slots, work)
	if err != nil {
		return 0, err
	}
	// All clients have the gateway that is stopped from a list that they got just before.
	g, resolved := gateways[0], time.Now()
	var mu sync.Mutex
	var answers []harness.Answer
	var done sync.WaitGroup
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			time.Sleep(time.Duration(i) * work / clients)
			client := harness.NewClient()
			for time.Since(resolved) < listKept {
				a := harness.Do(client, g.Address, harness.UnsafeRequest(deadline))
				c.Record.Add("client %d: %s answered after %.3f s: status %d, %q, %v", i, a.ID, a.EndedAt.Sub(a.SentAt).Seconds(), a.Status, a.Body, a.Err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.Status == http.StatusServiceUnavailable {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	var stopped time.Time
	if c.Trouble {
		time.Sleep(100 * time.Millisecond)
		stopped = time.Now()
		g.Signal(syscall.SIGTERM)
		go killAfterGrace(g)
	}
	ended := make(chan struct{})
	go func() { done.Wait(); close(ended) }()
	if err := c.WaitUntil(30*time.Second, func() bool { return isClosed(ended) }); err != nil {
		return 0, err
	}
	<-ended
	return judge(c.Record, servers, answers, stopped)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// killAfterGrace is what the platform does gracePeriodS after a SIGTERM.
func killAfterGrace(g *harness.Process) {
	select {
	case <-g.Ended():
	case <-time.After(harness.GracePeriodS * time.Second):
		g.Signal(syscall.SIGKILL)
	}
}

// judge is the rule LOST around planned work: a request that was passed on to a server, whose connection ends without
// a complete answer before its deadline, and that was sent later than excusedUntil after the SIGTERM.
func judge(r *harness.Record, servers []*harness.Plain, answers []harness.Answer, stopped time.Time) (int, error) {
	lost, whole := 0, 0
	for _, a := range answers {
		switch {
		case a.Whole():
			whole++
		case a.Err != nil && harness.RunsOf(servers, a.ID) > 0 && a.EndedAt.Sub(a.SentAt) < deadline && !stopped.IsZero() && a.SentAt.Sub(stopped) > excusedUntil:
			lost++
			r.Add("rule LOST broken: %s was sent %.3f s after the SIGTERM and ran, and its connection ended without an answer after %.3f s: %v",
				a.ID, a.SentAt.Sub(stopped).Seconds(), a.EndedAt.Sub(a.SentAt).Seconds(), a.Err)
		}
	}
	r.Add("%d requests: %d whole answers, %d lost", len(answers), whole, lost)
	switch {
	case lost > 0:
		return harness.Broken, nil
	case whole == 0:
		return 0, fmt.Errorf("no request was served")
	}
	return harness.Held, nil
}
