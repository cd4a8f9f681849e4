package main

import (
	"context"
	"fmt"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/wire"
)

// changes is the number of instances that change in a measurement.
const changes = 200

// measureChange measures what one changed instance costs a watch, and the time until
// all watchers know of it.
func measureChange(o options) error {
	fmt.Printf("%10s %20s %24s %14s\n", "instances", "B/change, each", "CPU µs/change, each", "known after")
	for _, n := range o.Instances {
		s, err := startDirectory()
		if err != nil {
			return err
		}
		err = changeOnce(o, s, n)
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

func changeOnce(o options, s *directoryServer, n int) error {
	s.fill(s.ctx, wire.Role_ROLE_UPSTREAM, n)
	list, err := s.startFollowers(s.ctx, o.Watchers, n, wire.Role_ROLE_UPSTREAM)
	defer closeAll(list)
	if err != nil {
		return err
	}
	time.Sleep(settleDown)
	idle := meter.Measure(s.lis, func() { time.Sleep(o.time()) })
	var longest time.Duration
	busy := meter.Measure(s.lis, func() { longest, err = s.announceLeaving(list, min(changes, n)) })
	if err != nil {
		return err
	}
	ratio := busy.Elapsed.Seconds() / idle.Elapsed.Seconds()
	each := float64(min(changes, n) * o.Watchers)
	fmt.Printf("%10d %20.0f %24.1f %12.0fms\n", n, (float64(busy.Sent)-float64(idle.Sent)*ratio)/each,
		(meter.Micros(busy.CPU)-meter.Micros(idle.CPU)*ratio)/each, longest.Seconds()*1000)
	return nil
}

// announceLeaving announces n instances as leaving, twenty at a time, and returns the
// longest time until all watchers knew of a batch.
func (s *directoryServer) announceLeaving(list []*follower, n int) (time.Duration, error) {
	const batch = 20
	var longest time.Duration
	for i := 0; i < n; i += batch {
		began := time.Now()
		for k := i; k < min(i+batch, n); k++ {
			a := announcement(wire.Role_ROLE_UPSTREAM, k, 1<<40)
			a.Phase = wire.Phase_PHASE_LEAVING
			_, _ = s.node.Announce(s.ctx, a)
		}
		for _, f := range list {
			if err := waitFor(func() bool { return knowsLeaving(f.node, min(i+batch, n)) }); err != nil {
				return 0, err
			}
		}
		longest = max(longest, time.Since(began))
	}
	return longest, nil
}

// knowsLeaving reports whether a directory has at least n upstreams in the phase
// leaving.
func knowsLeaving(node *directory.Node, n int) bool {
	leaving := 0
	for _, i := range node.Instances(wire.Role_ROLE_UPSTREAM) {
		if i.Phase == wire.Phase_PHASE_LEAVING {
			leaving++
		}
	}
	return leaving >= n
}

func waitFor(f func() bool) error {
	end := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(end) {
			return fmt.Errorf("not known within %v", waitTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// measureRevision measures what one edit of the table costs a watch of the directory:
// every entry announces a new revision.
func measureRevision(o options) error {
	fmt.Printf("%8s %18s %22s\n", "entries", "B/edit, each", "CPU µs/edit, each")
	for _, n := range []int{7, 200, 2000} {
		s, err := startDirectory()
		if err != nil {
			return err
		}
		err = revisionOnce(o, s, n)
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

func revisionOnce(o options, s *directoryServer, n int) error {
	s.fill(s.ctx, wire.Role_ROLE_ENTRY, n)
	list, err := s.startFollowers(s.ctx, o.Watchers, n, wire.Role_ROLE_ENTRY)
	defer closeAll(list)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	time.Sleep(settleDown)
	idle := meter.Measure(s.lis, func() { time.Sleep(o.time()) })
	const edits = 10
	busy := meter.Measure(s.lis, func() {
		for e := range uint64(edits) {
			s.announceRevision(ctx, n, e)
			for _, f := range list {
				if err == nil {
					err = waitFor(func() bool { return knowsRevision(f.node, n, e+1) })
				}
			}
		}
	})
	ratio := busy.Elapsed.Seconds() / idle.Elapsed.Seconds()
	each := float64(edits * o.Watchers)
	fmt.Printf("%8d %18.0f %22.1f\n", n, (float64(busy.Sent)-float64(idle.Sent)*ratio)/each,
		(meter.Micros(busy.CPU)-meter.Micros(idle.CPU)*ratio)/each)
	return err
}

// announceRevision announces for all entries, spread over half a second, that an edit
// is in force.
func (s *directoryServer) announceRevision(ctx context.Context, n int, edit uint64) {
	for i := range n {
		a := announcement(wire.Role_ROLE_ENTRY, i, 1<<40+edit)
		a.Revision = edit + 1
		_, _ = s.node.Announce(ctx, a)
		if i%(n/5+1) == 0 {
			time.Sleep(announceInterval / 5)
		}
	}
}

func knowsRevision(node *directory.Node, n int, revision uint64) bool {
	list := node.Instances(wire.Role_ROLE_ENTRY)
	for _, i := range list {
		if i.Revision < revision {
			return false
		}
	}
	return len(list) == n
}
