//go:build review

// Command poisoncase kills all processes at the same moment, as the final fault of a day does, and checks the
// rule RECOVER. The disruption is a heartbeat of another writer, with bytes in the ID that can't be read.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/snipereach/snipereach/review/standins/harness"
)

const (
	slots    = 6
	work     = 15 * time.Millisecond
	deadline = time.Second
	clients  = 8
	// ordinary is how long requests are sent before the final fault, and the foreign heartbeats begin before it.
	ordinary = 6 * time.Second
	foreign  = 3 * time.Second
	// down is how long the processes are down, recovery the recoveryS of the sites, judged how long requests are judged
	// after that.
	down     = time.Second
	recovery = 12 * time.Second
	judged   = 10 * time.Second
)

// unreadable is the ID of the foreign heartbeat: two bytes that no text has.
const unreadable = "%FF%FE"

func main() { harness.Main(run) }

// span counts the requests of one part of the case.
type span struct{ sent, served int }

type tally struct {
	mu sync.Mutex
	// spans has the requests before the final fault, those that aren't judged, and those after recovery.
	spans [3]span
}

func run(c *harness.Case) (int, error) {
	gateways, _, err := c.StartPlain(int(deadline.Milliseconds()), slots, work)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	var t tally
	var faultAt, backAt time.Time
	var mu sync.Mutex
	part := func(sent time.Time) int {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case faultAt.IsZero():
			return 0
		case backAt.IsZero() || sent.Sub(backAt) <= recovery:
			return 1
		}
		return 2
	}
	for range clients {
		go t.call(c.Record, gateways, part)
	}
	if err := c.Sleep(ordinary - foreign); err != nil {
		return 0, err
	}
	if c.Trouble {
		go foreignWriter(c)
	}
	if err := c.Sleep(foreign); err != nil {
		return 0, err
	}
	mu.Lock()
	faultAt = time.Now()
	mu.Unlock()
	c.Record.Add("final fault: all processes are killed, %.1f s after the begin", time.Since(began).Seconds())
	if err := c.System.KillAll(); err != nil {
		return 0, err
	}
	if err := c.Sleep(down); err != nil {
		return 0, err
	}
	if err := c.System.RestartAll(); err != nil {
		return 0, err
	}
	mu.Lock()
	backAt = time.Now()
	mu.Unlock()
	if err := c.Sleep(recovery + judged); err != nil {
		return 0, err
	}
	return t.judge(c.Record)
}

// call sends one unsafe request after the other, each to a gateway at random.
func (t *tally) call(r *harness.Record, gateways []*harness.Process, part func(time.Time) int) {
	for {
		client := harness.NewClient()
		g := gateways[rand.N(len(gateways))]
		a := harness.Do(client, g.Address, harness.UnsafeRequest(deadline))
		client.CloseIdleConnections()
		i := part(a.SentAt)
		t.mu.Lock()
		t.spans[i].sent++
		if a.Whole() {
			t.spans[i].served++
		} else if i == 2 {
			r.Add("%s at %s: status %d, %s, %v", a.ID, g.Name, a.Status, a.Body, a.Err)
		}
		t.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// judge is the rule RECOVER.
func (t *tally) judge(r *harness.Record) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, after := t.spans[0], t.spans[2]
	r.Add("before the final fault %d of %d requests were served, later than recoveryS after it %d of %d", before.served, before.sent, after.served, after.sent)
	switch {
	case before.sent < 20 || 4*before.served < before.sent:
		return 0, fmt.Errorf("%d of %d requests were served before the final fault", before.served, before.sent)
	case after.sent < 20:
		return 0, fmt.Errorf("only %d requests could be sent after the recovery", after.sent)
	case 4*after.served < after.sent:
		r.Add("rule RECOVER broken: less than a quarter is served")
		return harness.Broken, nil
	}
	r.Add("rule RECOVER held")
	return harness.Held, nil
}

// nextNode is the pause before a heartbeat that wasn't acknowledged goes to the next machine.
const nextNode = 20 * time.Millisecond

// foreignWriter sends heartbeats of a server that says it is draining. One that isn't acknowledged goes to the next
// machine, as PROTOCOL.md says, until one acknowledges it.
func foreignWriter(c *harness.Case) {
	nodes := c.System.ControlPlane()
	logged := map[string]bool{}
	for n := 0; ; n++ {
		body := fmt.Sprintf(`{"service":%q,"address":"127.85.1.1:8080","zone":"hall-north","version":"v1","slots":6,"state":"draining","coldRemainingMs":0,"sequence":%d,"born":%d}`,
			harness.PlainName, n+1, time.Now().UnixMilli())
		addr := nodes[n%len(nodes)]
		status, text := c.System.Call(http.MethodPut, addr, "/instances/"+unreadable, body)
		if line := fmt.Sprint(addr, " ", status); !logged[line] {
			// Only the first answer of each kind is written, of some thousand.
			logged[line] = true
			c.Record.Add("another writer: PUT /instances/%s %s to %s: %d %s", unreadable, body, addr, status, text)
		}
		if status/100 == 2 {
			time.Sleep(harness.HeartbeatInterval)
		}
		time.Sleep(nextNode)
	}
}
