package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/quickstart"
)

// rotatingPlanner is a planner that shifts the experts by one rank at every opportunity.
type rotatingPlanner struct{ shape placement.Shape }

func init() {
	kernel.Register(kernel.Module{ID: "placement.measure-rotate", New: func() any { return &rotatingPlanner{} }})
}

// Reset implements placement.Planner.
func (p *rotatingPlanner) Reset(s placement.Shape, _ placement.Cost) { p.shape = s }

// Observe implements placement.Planner.
func (p *rotatingPlanner) Observe(time.Time, placement.Load) {}

// Plan implements placement.Planner.
func (p *rotatingPlanner) Plan(_ time.Time, m *placement.Map) placement.Decision {
	d := placement.Decision{Next: &placement.Map{}, Reason: "rotated by one rank"}
	per := p.shape.Ranks * p.shape.Slots
	for layer := range p.shape.Layers {
		slots := m.Slots[layer*per : (layer+1)*per]
		d.Next.Slots = append(append(d.Next.Slots, slots[p.shape.Slots:]...), slots[:p.shape.Slots]...)
	}
	return d
}

// runOverSockets runs a quickstart system with a group of the given ranks for d.
func runOverSockets(d time.Duration, ranks int) error {
	ctx := context.Background()
	sys, err := quickstart.Start(ctx, quickstart.Options{Log: log.NewNopLogger(), Engines: ranks, Planner: "measure-rotate"})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(d)
	h := sys.Group.History()
	fmt.Printf("\nOver sockets, %d ranks, in %v: %d steps, %d switches, %d steps with two maps, %v lost in all, %v at most at once.\n",
		ranks, d, h.Steps, max(len(h.Epochs)-1, 0), h.MixedSteps, h.TotalBlocked.Round(time.Millisecond), h.MaxBlocked.Round(time.Millisecond))
	return nil
}
