package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one planned request.
type Arrival struct {
	// Due is the intended start, relative to the start of the run.
	Due    time.Duration
	Number int
	Class  *Class
	Team   *Team
	// Tokens is the completion length and Prefix the number of the prompt prefix;
	// only engine classes use them.
	Tokens int
	Prefix int
}

// Plan generates the arrivals of a run: a nonhomogeneous Poisson process whose rate
// follows Settings.Day, simulated by thinning (Lewis, Shedler: Simulation of
// Nonhomogeneous Poisson Processes by Thinning, 1979). It is deterministic for
// given settings.
type Plan struct {
	settings   *Settings
	rand       *rand.Rand
	teams      [][]*Team
	totalRate  float64
	peakFactor float64
	now        time.Duration
	number     int
}

// NewPlan returns the plan for settings that have passed Check.
func NewPlan(s *Settings) *Plan {
	p := &Plan{settings: s, rand: rand.New(rand.NewPCG(s.Seed, 0)), peakFactor: 1}
	if len(s.Day) > 0 {
		p.peakFactor = 0
		for _, d := range s.Day {
			p.peakFactor = max(p.peakFactor, d.Factor)
		}
	}
	for i := range s.Class {
		p.totalRate += s.Class[i].Rate
		p.teams = append(p.teams, teamsOf(s, &s.Class[i]))
	}
	return p
}

func teamsOf(s *Settings, c *Class) []*Team {
	var list []*Team
	for i := range s.Team {
		t := &s.Team[i]
		if len(c.Teams) == 0 {
			list = append(list, t)
		}
		for _, name := range c.Teams {
			if name == t.Name {
				list = append(list, t)
			}
		}
	}
	return list
}

// Next returns the next arrival, or false at the end of the run.
func (p *Plan) Next() (Arrival, bool) {
	length := p.settings.Duration.D()
	for p.peakFactor > 0 {
		gap := p.rand.ExpFloat64() / (p.totalRate * p.peakFactor)
		p.now += time.Duration(gap * float64(time.Second))
		if p.now >= length {
			break
		}
		factor := DayFactor(p.settings.Day, p.now.Seconds()/length.Seconds())
		if p.rand.Float64()*p.peakFactor < factor {
			return p.drawArrival(), true
		}
	}
	return Arrival{}, false
}

func (p *Plan) drawArrival() Arrival {
	at := p.rand.Float64() * p.totalRate
	i := 0
	for i < len(p.settings.Class)-1 && at >= p.settings.Class[i].Rate {
		at -= p.settings.Class[i].Rate
		i++
	}
	c := &p.settings.Class[i]
	p.number++
	return Arrival{
		Due: p.now, Number: p.number, Class: c,
		Team:   p.teams[i][p.rand.IntN(len(p.teams[i]))],
		Tokens: c.MinTokens + p.rand.IntN(c.MaxTokens-c.MinTokens+1),
		Prefix: p.rand.IntN(max(c.Prefixes, 1)),
	}
}

// DayFactor returns the rate factor at a fraction of the run from 0 to 1, interpolated
// linearly between points. Without points it is 1.
func DayFactor(day []DayPoint, at float64) float64 {
	if len(day) == 0 {
		return 1
	}
	before := day[0]
	for _, p := range day {
		if p.At > at {
			if p.At == before.At {
				return p.Factor
			}
			return before.Factor + (p.Factor-before.Factor)*max(at-before.At, 0)/(p.At-before.At)
		}
		before = p
	}
	return before.Factor
}
