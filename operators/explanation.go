package operators

import "github.com/snipereach/snipereach/refusal"

// Explanation is a refusal as callers and operators read it later.
type Explanation struct {
	*refusal.Problem
	Team    string `json:"team,omitempty"`
	Service string `json:"service,omitempty"`
	// Entry that refused, and when by its clock.
	Entry    string    `json:"entry"`
	AtUnixMS int64     `json:"at_unix_ms"`
	Attempts []Attempt `json:"attempts,omitempty"`
	// RowThen is the version of the row that decided, RowNow the one in force
	// when the explanation was given.
	RowThen *Row   `json:"row_then,omitempty"`
	RowNow  *Row   `json:"row_now,omitempty"`
	RowNote string `json:"row_note,omitempty"`
}

// Attempt is one attempt of a refused request.
type Attempt struct {
	Upstream string `json:"upstream"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail,omitempty"`
}
