package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// changedMeanwhile is the number of instances that change while an entry switches to
// another replica.
const changedMeanwhile = 10

// measureFollow measures what an entry spends on its own directory while idle, on the
// first copy, and on resuming at another replica with nearly the same instances.
func measureFollow(o options) error {
	fmt.Printf("%10s %26s %14s %8s %16s %8s\n", "instances", "CPU µs/s of an idle entry", "first copy, B", "CPU ms", "resumed copy, B", "CPU ms")
	for _, n := range o.Instances {
		settings := directory.DefaultSettings()
		settings.SettleTime = 0
		node := directory.NewNode(settings, time.Now, nil)
		one, other := directory.New(settings, time.Now(), 0), directory.New(settings, time.Now(), 0)
		for i := range n {
			one.Announce(time.Now(), announcement(wire.Role_ROLE_UPSTREAM, i, 1), 0, true)
			other.Announce(time.Now(), announcement(wire.Role_ROLE_UPSTREAM, i, 1), 0, true)
			_, _ = node.Announce(context.Background(), withLease(announcement(wire.Role_ROLE_UPSTREAM, i, 1), 30_000))
		}
		for i := range changedMeanwhile {
			a := announcement(wire.Role_ROLE_UPSTREAM, i, 2)
			a.Phase = wire.Phase_PHASE_LEAVING
			other.Announce(time.Now(), a, 0, true)
		}
		entry, src := directory.New(settings, time.Now(), 0), &directory.Source{FullCopy: true}
		began := meter.ProcessorTime()
		firstBytes := copyBytes(one, entry, &directory.View{}, src)
		first := meter.ProcessorTime() - began
		src = &directory.Source{FullCopy: true, Previous: src}
		began = meter.ProcessorTime()
		req := &wire.DirectoryWatchRequest{Known: entry.PrepareResume(src)}
		resumedBytes := proto.Size(req) + copyBytes(other, entry, &directory.View{Digest: req.Known}, src)
		resumed := meter.ProcessorTime() - began
		ctx, cancel := context.WithCancel(context.Background())
		go node.Run(ctx)
		began = meter.ProcessorTime()
		time.Sleep(o.time())
		idle := meter.ProcessorTime() - began
		cancel()
		fmt.Printf("%10d %26.0f %14d %8.1f %16d %8.1f\n", n, meter.Micros(idle)/o.Seconds,
			firstBytes, meter.Micros(first)/1000, resumedBytes, meter.Micros(resumed)/1000)
	}
	return nil
}

// copyBytes applies updates until a watcher is up to date, and returns their size.
func copyBytes(from, to *directory.State, v *directory.View, src *directory.Source) (bytes int) {
	for more := true; more; {
		var u *wire.DirectoryUpdate
		u, more = from.Update(time.Now(), v)
		bytes += proto.Size(u)
		to.Apply(time.Now(), src, u)
	}
	return bytes
}

func withLease(a *wire.Announcement, ms uint32) *wire.Announcement {
	a.LeaseMs = ms
	return a
}

// measureMemory measures the live heap for each instance, team and agent.
func measureMemory(o options) error {
	fmt.Printf("%-32s %8s %14s\n", "part", "count", "bytes each")
	for _, n := range o.Instances {
		before := meter.LiveHeap()
		node := directory.NewNode(directory.DefaultSettings(), time.Now, nil)
		for i := range n {
			_, _ = node.Announce(context.Background(), announcement(wire.Role_ROLE_UPSTREAM, i, 1))
		}
		fmt.Printf("%-32s %8d %14.0f\n", "instance in a directory", n, float64(meter.LiveHeap()-before)/float64(n))
		runtime.KeepAlive(node)
	}
	if err := tableMemory(); err != nil {
		return err
	}
	return agentMemory()
}

// tableMemory measures the heap that an entry needs for the table, as rows and as typed
// view. Each team has a limit and a weight.
func tableMemory() error {
	for _, n := range []int{100, 1000, 3800} {
		before := meter.LiveHeap()
		rows := teamRows(n)
		v, err := table.NewView(1, rows)
		if err != nil {
			return err
		}
		fmt.Printf("%-32s %8d %14.0f  typed view of all rows in %.1f ms, after one changed row in %.2f ms\n", "team with limit and weight", n,
			float64(meter.LiveHeap()-before)/float64(n), viewTime(rows)/1000, changeTime(v, rows)/1000)
		runtime.KeepAlive(v)
		runtime.KeepAlive(rows)
	}
	return nil
}

// viewTime returns the mean processor time of building the typed view, in
// microseconds.
func viewTime(rows []*wire.Row) float64 {
	const views = 20
	began := meter.ProcessorTime()
	for range views {
		_, _ = table.NewView(1, rows)
	}
	return meter.Micros(meter.ProcessorTime()-began) / views
}

// changeTime returns the mean processor time, in microseconds, of deriving a view with
// one changed row: a team, a limit and a weight in turn.
func changeTime(v *table.View, rows []*wire.Row) float64 {
	const views = 300
	began := meter.ProcessorTime()
	for i := range uint64(views) {
		row := rows[len(rows)-1-int(i%3)]
		v, _ = v.WithChanges(2+i, []*wire.Row{row})
	}
	return meter.Micros(meter.ProcessorTime()-began) / views
}

func teamRows(n int) []*wire.Row {
	rows := []*wire.Row{
		{Kind: table.KindPool, Key: "lm", Columns: map[string]string{}, Version: 1, Revision: 1},
		{Kind: table.KindService, Key: "pushpa-lm", Columns: map[string]string{"kind": "engine", "pool": "lm"}, Version: 1, Revision: 1},
	}
	for i := range n {
		team := fmt.Sprintf("team-%04d", i)
		key := sha256.Sum256([]byte(team))
		rows = append(rows,
			&wire.Row{Kind: table.KindTeam, Key: team, Version: 1, Revision: 1, ChangedBy: "operator-1", Columns: map[string]string{
				"key_sha256": hex.EncodeToString(key[:]), "max_priority": "normal", "contact": fmt.Sprintf("desk %d", i%97)}},
			&wire.Row{Kind: table.KindLimit, Key: team + "/*", Version: 1, Revision: 1, ChangedBy: "operator-1",
				Columns: map[string]string{"requests_per_second": "30", "tokens_per_second": "6000"}},
			&wire.Row{Kind: table.KindWeight, Key: team + "/*", Version: 1, Revision: 1, ChangedBy: "operator-1",
				Columns: map[string]string{"weight": "10"}})
	}
	return rows
}

// agentMemory measures the heap and goroutines of idle agents in this process, which
// share one fake upstream.
func agentMemory() error {
	up := &fake.Plain{}
	if err := up.Start(); err != nil {
		return err
	}
	defer up.Close()
	for _, n := range []int{10, 40, 160} {
		s, err := startDirectory()
		if err != nil {
			return err
		}
		before, routines := meter.LiveHeap(), runtime.NumGoroutine()
		list, err := startAgents(s, "plain", up.URL(), n)
		if err != nil {
			return err
		}
		time.Sleep(settleDown)
		fmt.Printf("%-32s %8d %14.0f  goroutines each %.1f\n", "idle agent, both connection ends", n,
			float64(meter.LiveHeap()-before)/float64(n), float64(runtime.NumGoroutine()-routines)/float64(n))
		for _, a := range list {
			a.Stop()
		}
		s.close()
	}
	return nil
}

func startAgents(s *directoryServer, kind, url string, n int) ([]*agent.Agent, error) {
	var list []*agent.Agent
	for i := range n {
		set := agent.DefaultSettings()
		set.ID, set.FailureDomain = fmt.Sprint("upstream-", i), "hall-00"
		set.ClusterSecret = string(security.Secret)
		set.Kind, set.Pools = kind, []string{"clock"}
		set.Upstream = map[string]any{"url": url}
		set.AnnounceTo = []string{s.address()}
		a, err := agent.New(set, log.NewNopLogger())
		if err != nil {
			return nil, err
		}
		if err := a.Start(s.ctx); err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}
