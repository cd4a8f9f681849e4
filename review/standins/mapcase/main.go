//go:build review

// Command mapcase plays a group of 16 ranks under load while other experts come into demand every few
// seconds, and checks the rule MAP. The trouble is a heartbeat of another writer, which names a service that
// the configuration doesn't have.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/snipereach/snipereach/review/standins/harness"
)

const (
	shiftInterval = 3 * time.Second
	streams       = 40
	// even is how long all experts are equally in demand at first, and observed for how long at most the group is
	// observed after that. The trouble begins in the middle of even.
	even     = 6 * time.Second
	observed = 25 * time.Second
	// afterwards is how long the group is observed after the first pass that breaks the rule.
	afterwards = 2 * time.Second
	groupName  = "g0"
	// foreignRank is the rank that the foreign heartbeat names.
	foreignRank = 5
)

func main() { harness.Main(run) }

func run(c *harness.Case) (int, error) {
	r, sys := c.Record, c.System
	app, err := harness.FreePort()
	if err != nil {
		return 0, err
	}
	shape := harness.DepotShape()
	group, err := startGroup(r, shape, app)
	if err != nil {
		return 0, err
	}
	defer group.Close()
	if err := startSystem(c, group); err != nil {
		return 0, err
	}
	gateways := sys.Resolve(harness.Host)
	for range streams {
		go callForever(r, gateways)
	}
	if err := c.Sleep(even / 2); err != nil {
		return 0, err
	}
	if c.Trouble {
		if err := foreignWriter(r, sys, app, shape); err != nil {
			return 0, err
		}
	}
	if err := c.Sleep(even / 2); err != nil {
		return 0, err
	}
	go shiftDemand(group)
	if err := c.WaitUntil(observed, func() bool { n, _ := group.Violations(); return n > 0 }); err != nil {
		return 0, err
	}
	if err := c.Sleep(afterwards); err != nil {
		return 0, err
	}
	return judge(c, group)
}

// judge is the rule MAP.
func judge(c *harness.Case, group *harness.Group) (int, error) {
	step, switches := group.Progress()
	n, first := group.Violations()
	c.Record.Add("%d passes, %d switches to another map", step, switches)
	switch {
	case n > 0:
		c.Record.Add("rule MAP broken: %d passes began while two ranks had different maps; the first: %s", n, first)
		return harness.Broken, nil
	case !c.Trouble && switches == 0:
		return 0, errors.New("the group never switched to another map")
	}
	c.Record.Add("rule MAP held")
	return harness.Held, nil
}

func startGroup(r *harness.Record, shape harness.GroupShape, app int) (*harness.Group, error) {
	var ids []string
	var ranks []int
	for i := range shape.Ranks {
		ids, ranks = append(ids, fmt.Sprintf("i-%x0%06x", i, rand.N(1<<24))), append(ranks, i)
	}
	return harness.NewGroup(r, groupName, harness.ModelName, shape, ids, ranks, func(i int) string { return fmt.Sprintf("%s:%d", harness.RankIP(i), app) })
}

// startSystem starts control replicas, two gateways and a sidecar beside each rank, and registers the ranks.
func startSystem(c *harness.Case, group *harness.Group) error {
	sys := c.System
	if err := sys.StartControl(); err != nil {
		return err
	}
	if _, err := sys.StartGateways(2); err != nil {
		return err
	}
	for i, k := range group.Ranks {
		if err := sys.StartSidecar(i, k.Address); err != nil {
			return err
		}
	}
	if err := sys.PutConfiguration(harness.Configuration(7, 600), 15*time.Second); err != nil {
		return err
	}
	for _, k := range group.Ranks {
		sys.KeepRegistered(k.Instance, k.Registration)
	}
	return sys.AwaitGateways(harness.Host, 2, 10*time.Second)
}

// foreignWriter sends heartbeats of a server of another service, which isn't named in the configuration. The
// server is a rank of a group of that service; the group has the same name, size and epoch.
func foreignWriter(r *harness.Record, sys *harness.System, app int, shape harness.GroupShape) error {
	address := func(int) string { return fmt.Sprintf("127.84.1.%d:%d", 100+foreignRank, app) }
	other, err := harness.NewGroup(r, groupName, "not-named-here", shape, []string{"i-f3a91c2e"}, []int{foreignRank}, address)
	if err != nil {
		return err
	}
	k := other.Ranks[0]
	k.ReportLag = 200 * time.Millisecond
	r.Add("another writer begins to send: PUT /instances/%s %s", k.Instance, k.Registration())
	sys.KeepRegistered(k.Instance, k.Registration)
	return nil
}

// shiftDemand changes the experts that are in demand at intervals.
func shiftDemand(g *harness.Group) {
	for n := 0; ; n++ {
		demand := make([]uint64, g.Shape.Experts)
		for e := range demand {
			demand[e] = 2
		}
		for i := range 6 {
			demand[(n*7+i*g.Shape.Ranks/4)%g.Shape.Experts] = 60
		}
		g.SetDemand(demand)
		time.Sleep(shiftInterval)
	}
}

// callForever sends one stream after the other.
func callForever(r *harness.Record, gateways []string) {
	c := harness.NewClient()
	for {
		g := gateways[rand.N(len(gateways))]
		a := harness.Do(c, g, harness.Request{
			Method: http.MethodPost, Host: harness.Host, Path: harness.StreamPath + "2f", Key: harness.Key, Deadline: 8 * time.Second,
			Body: make([]byte, 700), Header: map[string]string{
				"X-Snipereach-Model": "m", "X-Snipereach-Token-Counts": "714,80",
				"X-Snipereach-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%08x:674", rand.Uint32()),
			},
		})
		if a.Status != http.StatusOK || a.Err != nil {
			r.Add("stream %s at %s: status %d, %v", a.ID, g, a.Status, a.Err)
			time.Sleep(300 * time.Millisecond)
		}
	}
}
