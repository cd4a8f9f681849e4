package load

// Audit compares the outcomes that callers saw with the runs that the upstreams
// counted.
type Audit struct {
	Requests int `json:"requests"`
	// Runs counts the runs of this tool's requests.
	Runs int `json:"runs"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// WrongNotRun counts requests that ran although their outcome was NotRun.
	WrongNotRun int `json:"wrong_not_run"`
	// AnsweredWithoutRun counts answered requests that no upstream ran.
	AnsweredWithoutRun int `json:"answered_without_a_run"`
	// Crossed counts requests that got another request's answer or a part of one.
	Crossed int `json:"crossed"`
	// Lost counts requests whose outcome is Unknown, and LostRan those of them
	// that ran.
	Lost    int `json:"lost"`
	LostRan int `json:"lost_that_ran"`
	// Foreign counts runs of requests that are not in the audit.
	Foreign int `json:"foreign_runs"`
}

// Clean reports whether the audit found no violation. A lost request is none: the
// caller knows that the outcome is unknown.
func (a *Audit) Clean() bool {
	return a.Doubled == 0 && a.WrongNotRun == 0 && a.AnsweredWithoutRun == 0 && a.Crossed == 0
}

func audit(calls []requestRecord, runs map[string]int) *Audit {
	a := &Audit{Requests: len(calls)}
	known := make(map[string]bool, len(calls))
	for _, c := range calls {
		n := runs[c.key]
		known[c.key] = true
		a.Runs += n
		if n > 1 && !c.idempotent {
			a.Doubled++
		}
		if n > 0 && c.outcome == NotRun {
			a.WrongNotRun++
		}
		if n == 0 && c.outcome == Answered {
			a.AnsweredWithoutRun++
		}
		if c.verdict == Crossed {
			a.Crossed++
		}
		if c.outcome == Unknown {
			a.Lost++
			a.LostRan += min(n, 1)
		}
	}
	for key, n := range runs {
		if !known[key] {
			a.Foreign += n
		}
	}
	return a
}
