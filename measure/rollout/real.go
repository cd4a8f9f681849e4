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

// rotate hands each rank's experts to the next one, as often as it is asked.
type rotate struct{ shape placement.Shape }

func init() {
	kernel.Register(kernel.Module{ID: "placement.measure-rotate", New: func() any { return &rotate{} }})
}

// Reset implements placement.Planner.
func (p *rotate) Reset(s placement.Shape, _ placement.Cost) { p.shape = s }

// Observe implements placement.Planner.
func (p *rotate) Observe(time.Time, placement.Load) {}

// Plan implements placement.Planner.
func (p *rotate) Plan(_ time.Time, m *placement.Map) placement.Decision {
	d := placement.Decision{Next: &placement.Map{}, Why: "rotated by one rank"}
	per := p.shape.Ranks * p.shape.Slots
	for layer := range p.shape.Layers {
		slots := m.Slots[layer*per : (layer+1)*per]
		d.Next.Slots = append(append(d.Next.Slots, slots[p.shape.Slots:]...), slots[:p.shape.Slots]...)
	}
	return d
}

// overSockets runs the quickstart with a group of some ranks.
func overSockets(d time.Duration, ranks int) error {
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
		ranks, d, h.Steps, max(len(h.Epochs)-1, 0), h.Mixed, h.Lost.Round(time.Millisecond), h.Blocked.Round(time.Millisecond))
	return nil
}
