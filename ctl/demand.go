package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/snipereach/snipereach/demand"
)

type demandCommand struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *demandCommand) Execute([]string) error {
	var list demand.List
	if err := c.getJSON("/v1/demand", &list); err != nil {
		return err
	}
	if len(list.Unanswered) > 0 {
		fmt.Fprintln(c.stderr, "Services may be missing; no answer from control replicas "+strings.Join(list.Unanswered, ", "))
	}
	s := textTable{header: []string{
		"service", "priority", "team", "arrived", "admitted", "refused", "fair share", "over", "gateways", "age", "replica",
	}}
	for _, service := range list.Services {
		for _, team := range service.Teams {
			s.rows = append(s.rows, demandRow(&service, &team))
		}
	}
	return c.show(list, s)
}

func demandRow(s *demand.Service, t *demand.Team) []string {
	team, share, over := t.Team, "-", ""
	if team == "" {
		team = "(others)"
	}
	if s.Limited {
		share = strconv.FormatFloat(s.FairShare, 'f', 1, 64)
	}
	if t.OverShare {
		over = "yes"
	}
	age := (time.Duration(s.AgeMS) * time.Millisecond).Round(100 * time.Millisecond)
	return []string{
		s.Service, formatCount(t.Priority), team, formatCount(t.Arrived), formatCount(t.Admitted), refusedText(t), share, over,
		formatCount(s.Gateways), age.String(), s.Replica,
	}
}

func formatCount(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

// refusedText returns the number of refusals with the most frequent cause.
func refusedText(t *demand.Team) string {
	if len(t.Causes) == 0 {
		return formatCount(t.Refused)
	}
	return formatCount(t.Refused) + " (" + t.Causes[0].Cause + ")"
}
