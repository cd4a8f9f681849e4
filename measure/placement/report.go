package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/snipereach/snipereach/placement"
)

// total combines the results of planner i over the seeds: counts and times are summed,
// percentiles and the longest planning time are maxima.
func total(all [][]result, i int) result {
	sum := all[0][i]
	for _, results := range all[1:] {
		r := results[i]
		sum.p50, sum.p95 = max(sum.p50, r.p50), max(sum.p95, r.p95)
		sum.obj = add(sum.obj, r.obj)
		sum.j += r.j
		sum.slowest = max(sum.slowest, r.slowest)
	}
	return sum
}

func add(a, b placement.Objective) placement.Objective {
	a.TimeLost += b.TimeLost
	a.Moves += b.Moves
	a.Bytes += b.Bytes
	a.CapacityLost += b.CapacityLost
	return a
}

func totals(all [][]result) []result {
	var out []result
	for i := range all[0] {
		out = append(out, total(all, i))
	}
	return out
}

// best returns the result with the lowest objective J among the planners with a name prefix.
func best(results []result, prefix string) result {
	var found *result
	for i := range results {
		if strings.HasPrefix(results[i].name, prefix) && (found == nil || results[i].j < found.j) {
			found = &results[i]
		}
	}
	return *found
}

// printTable prints the results for one kind of trace.
func printTable(u user, seeds int, results []result) {
	fmt.Printf("\n%s (skew weight %g, move weight %g; %d seeds: sums, worst percentiles)\n", u.name, u.skew, u.move, seeds)
	fmt.Printf("%-16s %7s %7s %9s %8s %9s %9s %10s %9s\n",
		"planner", "p50", "p95", "lost", "moves", "GB", "cap.lost", "J", "plan")
	for _, r := range results {
		fmt.Printf("%-16s %7.3f %7.3f %8.0fs %8d %9.1f %8.1fs %10.0f %9v\n", r.name, r.p50, r.p95,
			r.obj.TimeLost.Seconds(), r.obj.Moves, r.obj.Bytes/1e9, r.obj.CapacityLost.Seconds(), r.j, r.slowest.Round(10*time.Microsecond))
	}
}

// printRatios prints J relative to the better baseline and to the offline planner, and
// the moves and the time lost relative to the repacking baseline.
func printRatios(results []result) {
	incremental, repack, static := results[2], best(results, "repack"), best(results, "static")
	repack30m, fewer := best(results, "repack 30m"), results[3]
	base := repack
	if static.j < base.j {
		base = static
	}
	off := best(results, "offline")
	fmt.Printf("J: ours / better baseline (%s) %.2f; ours / offline (%s) %.2f\n", base.name, incremental.j/base.j, off.name, incremental.j/off.j)
	for _, r := range []result{incremental, fewer} {
		fmt.Printf("moves: repack 30m / %s %.1f, time lost %.2f of repack's\n", r.name,
			float64(repack30m.obj.Moves)/float64(max(r.obj.Moves, 1)), r.obj.TimeLost.Seconds()/repack30m.obj.TimeLost.Seconds())
	}
}
