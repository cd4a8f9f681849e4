package overload

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant over which arrivals and admissions are counted. It is short
	// against a burst of several seconds, and long against the time between two requests of one
	// priority at a gateway, of which many have a few a second.
	rateWindow = 2 * time.Second
	// reserveTime is the time for which expected requests find a slot kept free: until a survey
	// shows the slots that have become free meanwhile. Surveys come each 200 ms and are 100 ms old.
	reserveTime = 300 * time.Millisecond
	// minServedRatio is the least fraction of the requests of a priority that is admitted, relative
	// to that of all priorities, whatever more urgent ones ask for. Callers are to get at least a
	// quarter; the rest is a margin, as a gateway sees a part of them only.
	minServedRatio = 0.4
	// minArrivals is the decayed number of arrivals from which the admitted fraction of a priority
	// is known.
	minArrivals = 3.0
)

// Policy tracks the requests of one service at one gateway by rank of priority, from 0 for the most
// urgent. The zero value is one for a service whose requests all have the same rank.
type Policy struct {
	// traffic is that of each rank.
	traffic []traffic
}

// traffic counts the requests of one rank.
type traffic struct {
	arrived, admitted decayingCount
}

// SetRanks sets how many ranks there are. The counts start anew if the number changes, as a rank
// then means another priority.
func (p *Policy) SetRanks(n int) {
	if len(p.traffic) != n {
		p.traffic = make([]traffic, n)
	}
}

// Enabled reports whether the service's requests have different ranks.
func (p *Policy) Enabled() bool { return len(p.traffic) > 1 }

// RecordArrival counts the arrival of a request.
func (p *Policy) RecordArrival(now time.Time, rank uint32) {
	if t := p.of(rank); t != nil {
		t.arrived.add(now)
	}
}

// RecordAdmission counts the admission of a request.
func (p *Policy) RecordAdmission(now time.Time, rank uint32) {
	if t := p.of(rank); t != nil {
		t.admitted.add(now)
	}
}

// of returns the counts of a rank; nil if the policy isn't enabled or a request has a rank of an
// earlier configuration.
func (p *Policy) of(rank uint32) *traffic {
	if !p.Enabled() || int(rank) >= len(p.traffic) {
		return nil
	}
	return &p.traffic[rank]
}

// MoreUrgentPerSecond returns the rate at which more urgent requests than those of a rank arrive.
func (p *Policy) MoreUrgentPerSecond(now time.Time, rank uint32) float64 {
	rate := 0.0
	for i := range min(int(rank), len(p.traffic)) {
		rate += p.traffic[i].arrived.perSecond(now)
	}
	return rate
}

// Reserved returns how many slots requests of a rank leave free for more urgent ones: as many as
// these are expected to need within reserveTime. It is a fraction where requests are few.
func (p *Policy) Reserved(now time.Time, rank uint32) float64 {
	return p.MoreUrgentPerSecond(now, rank) * reserveTime.Seconds()
}

// UrgentFraction returns the fraction of the arrivals that are more urgent than those of a rank.
func (p *Policy) UrgentFraction(now time.Time, rank uint32) float64 {
	all, urgent := 0.0, 0.0
	for i := range p.traffic {
		n := p.traffic[i].arrived.at(now)
		all += n
		if i < int(rank) {
			urgent += n
		}
	}
	if all == 0 {
		return 0
	}
	return urgent / all
}

// StarvedRanks returns for each rank whether its requests are starved.
func (p *Policy) StarvedRanks(now time.Time) []bool {
	list := make([]bool, len(p.traffic))
	if !p.Enabled() {
		return list
	}
	arrived, admitted := p.total(now)
	for i := range list {
		list[i] = p.traffic[i].starved(now, arrived, admitted)
	}
	return list
}

// Starved reports whether requests of a rank get so little that they go before more urgent ones:
// under minServedRatio of the fraction that is admitted of all.
func (p *Policy) Starved(now time.Time, rank uint32) bool {
	t := p.of(rank)
	if t == nil {
		return false
	}
	arrived, admitted := p.total(now)
	return t.starved(now, arrived, admitted)
}

// total returns how many requests of all ranks have arrived and been admitted.
func (p *Policy) total(now time.Time) (arrived, admitted float64) {
	for i := range p.traffic {
		arrived += p.traffic[i].arrived.at(now)
		admitted += p.traffic[i].admitted.at(now)
	}
	return arrived, admitted
}

// starved reports whether the rank is starved, given the requests of all ranks.
func (t *traffic) starved(now time.Time, arrived, admitted float64) bool {
	n := t.arrived.at(now)
	return n >= minArrivals && t.admitted.at(now)*arrived < minServedRatio*admitted*n
}

// decayingCount counts events with a weight that decays with their age.
type decayingCount struct {
	count     float64
	countedAt time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.count = c.at(now) + 1
	c.countedAt = now
}

func (c *decayingCount) at(now time.Time) float64 {
	return c.count * math.Exp(-now.Sub(c.countedAt).Seconds()/rateWindow.Seconds())
}

func (c *decayingCount) perSecond(now time.Time) float64 { return c.at(now) / rateWindow.Seconds() }
