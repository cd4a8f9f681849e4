package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/admit"
)

const (
	// teamEntries is the number of entries, enough for a team's total demand to be a
	// sum of many. What one entry sends doesn't depend on it.
	teamEntries = 40
	activeTeams = 10
	// teamRate is a team's request rate at one entry, per second: 89,000 requests a
	// second divided by 2,000 entries and ten teams.
	teamRate    = 4.45
	teamSeconds = 60
)

// shareTrafficByTeam prints how often an entry asks for shares at the target load, with
// ten teams active at every entry. One call carries the demands of all teams that are
// due.
func shareTrafficByTeam(o options) {
	fmt.Printf("Ten teams active at each of %d entries, %.2f requests/s of each team there.\n", teamEntries, teamRate)
	fmt.Printf("%-34s %12s %14s %10s\n", "demand", "admitted", "demands/s", "calls/s")
	for _, c := range []struct {
		name string
		// load is the request rate as a fraction of the limit. swing is the factor
		// between the high and the low demand of a team at an entry, which alternate
		// every ten seconds.
		load, swing float64
	}{{"steady, half the limit", 0.5, 1}, {"steady, twice the limit", 2, 1}, {"to and fro by 3, half the limit", 0.5, 3}, {"to and fro by 3, twice the limit", 2, 3}} {
		r := driveTeamLimiters(o, c.load, c.swing)
		fmt.Printf("%-34s %11.1f%% %14.2f %10.2f\n", c.name, 100*r.admitted, r.demands, r.calls)
	}
}

func driveTeamLimiters(o options, load, swing float64) driveResult {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	now := time.Unix(1_000_000, 0)
	s := newSharesFor(teamEntries, teamRate*teamEntries/load, now)
	var subjects []admit.Subject
	for t := range activeTeams {
		subjects = append(subjects, admit.Subject{Team: fmt.Sprint("team-", t), Service: "pushpa-lm"})
	}
	const warm = 10 * time.Second
	begin, end := now.Add(warm), now.Add(warm+teamSeconds*time.Second)
	offeredRate := teamRate * teamEntries * activeTeams
	admitted, warmDemands, warmCalls := 0.0, 0.0, 0.0
	for now.Before(end) {
		s.advanceTo(now)
		if now.Before(begin) {
			warmDemands, warmCalls, admitted = s.demands, s.calls, 0
		}
		entry, team := rng.IntN(teamEntries), rng.IntN(activeTeams)
		if demandIsHigh(entry, team, now) || rng.Float64() < 1/swing {
			if s.admitFor(entry, subjects[team], now) {
				admitted++
			}
		}
		now = now.Add(time.Duration(rng.ExpFloat64() / (offeredRate * 2 / (1 + 1/swing)) * float64(time.Second)))
	}
	per := float64(teamSeconds * teamEntries)
	return driveResult{
		admitted: admitted / (offeredRate * min(1, 1/load) * teamSeconds),
		demands:  (s.demands - warmDemands) / per / activeTeams, calls: (s.calls - warmCalls) / per,
	}
}

// demandIsHigh reports whether a team's demand at an entry is high now. Half of the
// pairs of entry and team are high at any time, and each changes at its own phase.
func demandIsHigh(entry, team int, now time.Time) bool {
	const period = 20 * time.Second
	phase := time.Duration((entry*activeTeams+team)*7919%400) * period / 400
	return now.Add(phase).UnixNano()%int64(period) < int64(period/2)
}
