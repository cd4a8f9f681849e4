package main

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/forward"
)

// hop is the one-way delay between an entry and an engine.
const hop = time.Millisecond

// ticket is a request's place in the queue of one engine.
type ticket struct {
	request *request
	engine  int
	work    *admit.Work
}

// takeTickets queues tickets for a request that found no free slot, at the engines
// with the least load.
func (m *model) takeTickets(r *request) {
	order := m.rng.Perm(engines)
	if !m.policy.randomEngine {
		slices.SortStableFunc(order, func(a, b int) int { return m.load[a] - m.load[b] })
	}
	for _, i := range order[:min(forward.MaxTickets(r.class), engines)] {
		r.tickets = append(r.tickets, &ticket{request: r, engine: i})
	}
	r.pendingTickets = len(r.tickets)
	for _, p := range r.tickets {
		m.schedule(hop, func() { m.offerTicket(p) })
	}
}

func (m *model) offerTicket(p *ticket) {
	if p.request.bound {
		return
	}
	p.work = m.newWork(p.request)
	p.work.Value, p.work.Tickets = p, len(p.request.tickets)
	if m.engine[p.engine].Offer(m.now, p.work) != nil {
		m.ticketFailed(p)
		return
	}
	m.pumpEngine(p.engine)
}

// ticketFailed ends a ticket that got no slot.
func (m *model) ticketFailed(p *ticket) {
	r := p.request
	r.pendingTickets--
	if r.pendingTickets == 0 && !r.bound {
		m.refused[r.class]++
		m.releaseEntrySlot(r)
	}
}

// holdSlot keeps a slot until the request arrives or withdraws the ticket.
func (m *model) holdSlot(p *ticket) {
	m.load[p.engine]++
	m.schedule(hop, func() {
		if p.request.bound {
			m.schedule(hop, func() { m.withdraw(p) })
			return
		}
		m.bindRequest(p)
	})
}

func (m *model) bindRequest(p *ticket) {
	r := p.request
	r.bound = true
	for _, other := range r.tickets {
		if other != p {
			m.schedule(hop, func() { m.withdraw(other) })
		}
	}
	m.schedule(hop, func() {
		r.engine, r.engineWork = p.engine, p.work
		m.begin(r)
	})
}

// withdraw cancels a waiting ticket or frees the slot that it holds.
func (m *model) withdraw(p *ticket) {
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
