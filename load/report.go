package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. Latencies are in microseconds, from the intended
// start of the request.
type Report struct {
	Started time.Time     `json:"started"`
	Seconds float64       `json:"seconds"`
	Lists   int           `json:"entry_lists_fetched"`
	Classes []ClassReport `json:"classes"`
	// Audit is nil if the runs at the upstreams are not known.
	Audit *Audit `json:"audit,omitempty"`

	settings *Settings
	stats    *stats
}

// ClassReport is the result of one class.
type ClassReport struct {
	Name     string          `json:"name"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Reasons counts requests by outcome and reason, as in "not-run queue-full".
	Reasons  map[string]int  `json:"reasons,omitempty"`
	Verdicts map[Verdict]int `json:"verdicts,omitempty"`
	Resent   int             `json:"resent"`
	Replayed int             `json:"replayed"`
	First    Quantiles       `json:"first_us"`
	Whole    Quantiles       `json:"whole_us"`
	Gap      Quantiles       `json:"between_tokens_us"`
}

// Quantiles summarizes a histogram.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p99.9"`
	Max   int64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

func (r *Runner) report() *Report {
	rep := &Report{
		Started: r.began, Seconds: time.Since(r.began).Seconds(), Lists: r.entries.fetches,
		settings: r.settings, stats: r.stats,
	}
	for i := range r.settings.Class {
		c := &r.settings.Class[i]
		cs := r.stats.classes[c]
		rep.Classes = append(rep.Classes, ClassReport{
			Name: c.Name, Outcomes: cs.outcomes, Reasons: cs.reasons, Verdicts: cs.verdicts,
			Resent: cs.resent, Replayed: cs.replayed,
			First: quantiles(cs.first), Whole: quantiles(cs.whole), Gap: quantiles(cs.tokenGap),
		})
	}
	if r.opts.Runs != nil {
		rep.Audit = audit(r.records, r.opts.Runs())
	}
	return rep
}

// Clean reports whether every answer passed its check and the audit, if any, is
// clean.
func (r *Report) Clean() bool {
	return r.stats.wrongAnswers() == 0 && (r.Audit == nil || r.Audit.Clean())
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tanswered\tnot run\tunknown\tunsent\tresent\treplayed\twrong\tfirst p50\tp99\twhole p50\tp99\tbetween tokens p95\t")
	for _, c := range r.Classes {
		wrong := 0
		for v, n := range c.Verdicts {
			if v != Whole {
				wrong += n
			}
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", c.Name,
			c.Outcomes[Answered], c.Outcomes[NotRun], c.Outcomes[Unknown], c.Outcomes[Unsent],
			c.Resent, c.Replayed, wrong, formatMillis(c.First.P50), formatMillis(c.First.P99), formatMillis(c.Whole.P50), formatMillis(c.Whole.P99), formatMillis(c.Gap.P95))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		printCounts(w, c.Name+" reasons", c.Reasons)
		printCounts(w, c.Name+" answers", failedVerdicts(c.Verdicts))
	}
	if a := r.Audit; a != nil {
		fmt.Fprintf(w, "runs: %d of %d requests; doubled %d, wrong \"not run\" %d, answered without a run %d, crossed %d, lost %d (%d of them ran), foreign %d\n",
			a.Runs, a.Requests, a.Doubled, a.WrongNotRun, a.AnsweredWithoutRun, a.Crossed, a.Lost, a.LostRan, a.Foreign)
	}
	return nil
}

func failedVerdicts(v map[Verdict]int) map[string]int {
	m := map[string]int{}
	for name, n := range v {
		if name != Whole {
			m[string(name)] = n
		}
	}
	return m
}

func printCounts(w io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	var list []string
	for name, n := range counts {
		list = append(list, fmt.Sprintf("%s: %d", name, n))
	}
	sort.Strings(list)
	fmt.Fprintf(w, "%s: %s\n", title, strings.Join(list, ", "))
}

func formatMillis(us int64) string {
	if us == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fms", float64(us)/1000)
}
