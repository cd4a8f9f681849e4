package main

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/forward"
)

// hop is the way from an entry to an engine.
const hop = time.Millisecond

// place is a request's ticket at one engine.
type place struct {
	request *request
	engine  int
	work    *admit.Work
}

// queue takes tickets for a request that found no free slot, at the engines with
// the least work.
func (m *model) queue(r *request) {
	order := m.rng.Perm(engines)
	if !m.policy.blind {
		slices.SortStableFunc(order, func(a, b int) int { return m.load[a] - m.load[b] })
	}
	for _, i := range order[:min(forward.Tickets(r.class), engines)] {
		r.places = append(r.places, &place{request: r, engine: i})
	}
	r.left = len(r.places)
	for _, p := range r.places {
		m.after(hop, func() { m.offer(p) })
	}
}

func (m *model) offer(p *place) {
	if p.request.bound {
		return
	}
	p.work = m.newWork(p.request)
	p.work.Value, p.work.Tickets = p, len(p.request.places)
	if m.engine[p.engine].Offer(m.now, p.work) != nil {
		m.lost(p)
		return
	}
	m.pumpEngine(p.engine)
}

// lost ends a ticket without a slot.
func (m *model) lost(p *place) {
	r := p.request
	r.left--
	if r.left == 0 && !r.bound {
		m.refused[r.class]++
		m.leave(r)
	}
}

// hold keeps a slot until the request has come, or was told to run elsewhere.
func (m *model) hold(p *place) {
	m.load[p.engine]++
	m.after(hop, func() {
		if p.request.bound {
			m.after(hop, func() { m.withdraw(p) })
			return
		}
		m.bind(p)
	})
}

func (m *model) bind(p *place) {
	r := p.request
	r.bound = true
	for _, other := range r.places {
		if other != p {
			m.after(hop, func() { m.withdraw(other) })
		}
	}
	m.after(hop, func() {
		r.engine, r.work = p.engine, p.work
		m.begin(r)
	})
}

// withdraw gives up a ticket that waits, or the slot that it holds.
func (m *model) withdraw(p *place) {
	if p.work == nil || p.work.Unused {
		return
	}
	running := m.engine[p.engine].(*admit.Gate).Running()
	p.work.Unused = true
	m.engine[p.engine].Done(m.now, p.work)
	if m.engine[p.engine].(*admit.Gate).Running() < running {
		m.load[p.engine]--
	}
	m.pumpEngine(p.engine)
}
