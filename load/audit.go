package load

// Audit compares what callers were told with what the upstreams ran.
type Audit struct {
	Requests int `json:"requests"`
	Runs     int `json:"runs"`
	// Doubled counts requests that may not be repeated and ran more than once.
	Doubled int `json:"doubled"`
	// WrongNotRun counts requests that ran although the caller was told "not run".
	WrongNotRun int `json:"wrong_not_run"`
	// Unrun counts answers that no upstream had run.
	Unrun int `json:"answered_without_a_run"`
	// Crossed counts answers, or parts, that were another request's.
	Crossed int `json:"crossed"`
	// Lost counts requests whose outcome the caller never learnt, and LostRan those
	// of them that ran.
	Lost    int `json:"lost"`
	LostRan int `json:"lost_that_ran"`
	// Foreign counts runs of requests that this tool did not send.
	Foreign int `json:"foreign_runs"`
}

// Clean says whether every promise held. A lost request breaks none: the caller
// was told that the outcome is unknown.
func (a *Audit) Clean() bool {
	return a.Doubled == 0 && a.WrongNotRun == 0 && a.Unrun == 0 && a.Crossed == 0
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
			a.Unrun++
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
