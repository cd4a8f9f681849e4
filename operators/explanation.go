package operators

import "github.com/snipereach/snipereach/refusal"

// Explanation describes an earlier refusal to callers and operators.
type Explanation struct {
	*refusal.Problem
	Team    string `json:"team,omitempty"`
	Service string `json:"service,omitempty"`
	// Entry is the ID of the entry that refused the request, AtUnixMS the time by
	// its clock.
	Entry    string    `json:"entry"`
	AtUnixMS int64     `json:"at_unix_ms"`
	Attempts []Attempt `json:"attempts,omitempty"`
	// RowThen is the version of the row that caused the refusal, RowNow the
	// version at the time of the explanation.
	RowThen *Row   `json:"row_then,omitempty"`
	RowNow  *Row   `json:"row_now,omitempty"`
	RowNote string `json:"row_note,omitempty"`
}

// Attempt is one attempt to run a refused request on an upstream.
type Attempt struct {
	Upstream string `json:"upstream"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail,omitempty"`
}
