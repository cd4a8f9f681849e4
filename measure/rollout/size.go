package main

import (
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// printSizes prints the sizes of a group's messages and state, and the processor time
// of its coordinator, at the target size.
func printSizes() {
	s := placement.Shape{Ranks: 32, Experts: 256, Layers: 58, Slots: 9}
	m := rollout.NewMachine()
	index := uint64(1)
	apply := func(c *wire.GroupCommand) int {
		index++
		c.Group, c.Token = "g", 1
		m.Apply(index, c, 1)
		return proto.Size(c)
	}
	g := rollout.FromPlacementMap(s, placement.Contiguous(s))
	apply(&wire.GroupCommand{Command: &wire.GroupCommand_Install{Install: g}})
	begin := apply(&wire.GroupCommand{Command: &wire.GroupCommand_Begin{
		Begin: &wire.BeginSwitch{Base: m.Get("g").Map.Epoch, Map: g, Reason: &wire.MapReason{}},
	}})
	order, _ := json.Marshal(rollout.Order{Group: "g", Map: &rollout.OrderMap{Slots: g.ExpertsInSlots}})
	status, _ := json.Marshal(rollout.Status{Incarnation: 1 << 60, Seq: 1 << 20, Epoch: 1 << 20, NextStep: 1 << 30, StepMicros: 5000})
	fmt.Printf("\nGroup of 32 ranks, 256 experts, 58 layers, 9 slots: begin on the log %d bytes, stage order %d bytes a rank, status %d bytes, state with one map and a switch %d bytes.\n",
		begin, len(order), len(status), proto.Size(m.Get("g")))
	counters := &wire.ExpertCounters{Group: "g", Tokens: make([]uint32, s.Layers*s.Experts)}
	for i := range counters.Tokens {
		counters.Tokens[i] = 5000
	}
	fmt.Printf("Counters of one rank: %d bytes.\n", proto.Size(counters))
	fmt.Printf("Coordinator's tick with 32 quiet ranks: %v.\n", tickTime(s, m.Get("g")).Round(10*time.Nanosecond))
}

// tickTime returns the mean time of a coordinator tick with nothing to do.
func tickTime(s placement.Shape, st *wire.GroupState) time.Duration {
	now := time.Unix(0, 0)
	c := rollout.NewCoordinator(rollout.DefaultConfig("g", s, 1))
	idle := proto.Clone(st).(*wire.GroupState)
	idle.Switch = nil
	c.SetState(now, idle)
	for i := range s.Ranks {
		c.HandleStatus(now, i, rollout.Status{Incarnation: 1, Seq: 1, Epoch: idle.Map.Epoch})
	}
	c.Tick(now)
	const n = 200_000
	began := time.Now()
	for range n {
		c.Tick(now)
	}
	return time.Since(began) / n
}
