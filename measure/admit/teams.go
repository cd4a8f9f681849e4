package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/admit"
)

const (
	// teamEntries are as many as the model needs for a team's demand to be a sum of
	// many; more entries change nothing for one of them.
	teamEntries = 40
	activeTeams = 10
	// teamRate is what a team's callers ask one entry for: 89,000 requests a second
	// over 2,000 entries and ten teams.
	teamRate    = 4.45
	teamSeconds = 60
)

// teamsAsked prints how often an entry asks at the target's load, with ten teams
// active at every entry: calls are shared by teams whose questions are due.
func teamsAsked(o options) {
	fmt.Printf("Ten teams active at each of %d entries, %.2f requests/s of each team there.\n", teamEntries, teamRate)
	fmt.Printf("%-34s %12s %14s %10s\n", "demand", "admitted", "questions/s", "calls/s")
	for _, c := range []struct {
		name string
		// load is of the limit; swing is by how much each entry's demand goes up and
		// down, by a factor, every ten seconds.
		load, swing float64
	}{{"steady, half the limit", 0.5, 1}, {"steady, twice the limit", 2, 1}, {"to and fro by 3, half the limit", 0.5, 3}, {"to and fro by 3, twice the limit", 2, 3}} {
		r := driveTeams(o, c.load, c.swing)
		fmt.Printf("%-34s %11.1f%% %14.2f %10.2f\n", c.name, 100*r.admitted, r.questions, r.calls)
	}
}

func driveTeams(o options, load, swing float64) driven {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	now := time.Unix(1_000_000, 0)
	s := sharesOf(teamEntries, teamRate*teamEntries/load, now)
	var subjects []admit.Subject
	for t := range activeTeams {
		subjects = append(subjects, admit.Subject{Team: fmt.Sprint("team-", t), Service: "pushpa-lm"})
	}
	const warm = 10 * time.Second
	begin, end := now.Add(warm), now.Add(warm+teamSeconds*time.Second)
	most := teamRate * teamEntries * activeTeams
	admitted, warmQuestions, warmCalls := 0.0, 0.0, 0.0
	for now.Before(end) {
		s.until(now)
		if now.Before(begin) {
			warmQuestions, warmCalls, admitted = s.questions, s.calls, 0
		}
		entry, team := rng.IntN(teamEntries), rng.IntN(activeTeams)
		if swings(entry, team, now) || rng.Float64() < 1/swing {
			if s.takeOf(entry, subjects[team], now) {
				admitted++
			}
		}
		now = now.Add(time.Duration(rng.ExpFloat64() / (most * 2 / (1 + 1/swing)) * float64(time.Second)))
	}
	per := float64(teamSeconds * teamEntries)
	return driven{
		admitted:  admitted / (most * min(1, 1/load) * teamSeconds),
		questions: (s.questions - warmQuestions) / per / activeTeams, calls: (s.calls - warmCalls) / per,
	}
}

// swings says whether a team's demand at an entry is high now: half of the pairs are,
// others in turn, and each changes at a time of its own.
func swings(entry, team int, now time.Time) bool {
	const period = 20 * time.Second
	phase := time.Duration((entry*activeTeams+team)*7919%400) * period / 400
	return now.Add(phase).UnixNano()%int64(period) < int64(period/2)
}
