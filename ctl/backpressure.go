package ctl

import (
	"strconv"
	"strings"
	"time"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/operators"
)

type backpressureCommand struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *backpressureCommand) Execute([]string) error {
	var list operators.Backpressure
	if err := c.getJSON("/v1/backpressure", &list); err != nil {
		return err
	}
	s := textTable{header: []string{"upstream", "limit", "leaves", "heard", "by", "rests"}}
	for _, u := range list.Upstreams {
		s.rows = append(s.rows, backpressureRow(u))
	}
	return c.show(list, s)
}

func backpressureRow(u backpressure.View) []string {
	limit, leaves, heard := "", "", ""
	if u.Limited {
		limit = strconv.FormatFloat(u.PerS, 'g', -1, 64) + " a second"
	}
	if u.Leaving {
		leaves = "yes"
	}
	if u.HeardBy != "" {
		heard = formatSeconds(u.AgeMS) + " ago"
	}
	var rests []string
	for _, r := range u.Rests {
		rests = append(rests, r.Gateway+": "+(time.Duration(r.LeftMS)*time.Millisecond).Round(100*time.Millisecond).String())
	}
	return []string{u.Upstream, limit, leaves, heard, u.HeardBy, strings.Join(rests, ", ")}
}
