package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/operators"
)

func (a *app) addGroupCommands(p *flags.Parser) error {
	g, err := p.AddCommand("groups", "show groups of ranks and their expert maps", "", &groupsCommand{app: a})
	if err != nil {
		return err
	}
	g.SubcommandsOptional = true
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"ranks", "show the ranks of a group", &groupRanksCommand{app: a}},
		{"log", "show the reason for each map of a group, newest first", &groupLogCommand{app: a}},
		{"pin", "pin a map: the current one, or an earlier one by its epoch", &groupPinCommand{app: a}},
		{"unpin", "let the planner change the map again", &groupChangeCommand{app: a, verb: "unpin"}},
		{"undo", "go back to the previous map and pin it", &groupChangeCommand{app: a, verb: "undo"}},
	} {
		if _, err := g.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

type groupArgs struct {
	Group string `positional-arg-name:"GROUP" required:"yes"`
}

type groupsCommand struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *groupsCommand) Execute([]string) error {
	var g operators.Groups
	if err := c.getJSON("/v1/groups", &g); err != nil {
		return err
	}
	s := textTable{header: []string{"group", "epoch", "skew", "state", "last moves", "by", "why"}}
	for _, v := range g.Groups {
		moves, by, why := latestDecision(v)
		s.rows = append(s.rows, []string{v.Group, fmt.Sprint(v.Epoch), formatSkew(v.Skew), groupState(v), moves, by, why})
	}
	return c.show(g, s)
}

// latestDecision describes the newest decision about a group's map: the switch in
// progress, else the last finished switch or the planner's last decision, whichever
// is newer.
func latestDecision(g operators.Group) (moves, by, why string) {
	r := g.Last
	switch {
	case g.Switch != nil && g.Switch.Reason != nil:
		r = g.Switch.Reason
	case len(g.Records) > 0 && (r == nil || r.At < g.Records[0].Reason.At):
		r = g.Records[0].Reason
	}
	if r == nil {
		return "", "", ""
	}
	return fmt.Sprint(r.Moves), r.By, r.Why
}

func formatSkew(f float64) string {
	if f == 0 {
		return "unknown"
	}
	return fmt.Sprintf("%.3f", f)
}

func groupState(g operators.Group) string {
	switch {
	case g.Error != "":
		return "error: " + g.Error
	case g.Switch != nil:
		return fmt.Sprintf("switching to %d, %s", g.Switch.Epoch, g.Switch.Phase)
	case g.Pinned != 0:
		return fmt.Sprintf("pinned to %d by %s", g.Pinned, g.PinnedBy)
	case g.Paused:
		return "paused"
	}
	return "planning"
}

func (a *app) getGroup(name string) (*operators.Group, error) {
	var g operators.Group
	return &g, a.getJSON("/v1/groups/"+url.PathEscape(name), &g)
}

type groupRanksCommand struct {
	*app `no-flag:"yes"`
	Args groupArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *groupRanksCommand) Execute([]string) error {
	g, err := c.getGroup(c.Args.Group)
	if err != nil {
		return err
	}
	s := textTable{header: []string{"rank", "upstream", "epoch", "next step", "armed", "detail"}}
	for _, r := range g.Ranks {
		s.rows = append(s.rows, []string{
			fmt.Sprint(r.Rank), r.Upstream, fmt.Sprint(r.Epoch), fmt.Sprint(r.NextStep), fmt.Sprint(r.Armed), r.Detail,
		})
	}
	return c.show(g.Ranks, s)
}

type groupLogCommand struct {
	*app `no-flag:"yes"`
	Args groupArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *groupLogCommand) Execute([]string) error {
	g, err := c.getGroup(c.Args.Group)
	if err != nil {
		return err
	}
	s := textTable{header: []string{"epoch", "at", "outcome", "moves", "skew before", "skew after", "gain s", "price s", "by", "why", "detail"}}
	for _, r := range g.Records {
		m := r.Reason
		if m == nil {
			m = &operators.MapReason{}
		}
		s.rows = append(s.rows, []string{
			fmt.Sprint(r.Epoch), r.At, r.Outcome, fmt.Sprint(m.Moves), formatSkew(m.SkewBefore), formatSkew(m.SkewAfter),
			fmt.Sprintf("%.2f", m.Gain), fmt.Sprintf("%.2f", m.Price), m.By, m.Why, r.Detail,
		})
	}
	return c.show(g.Records, s)
}

type groupPinCommand struct {
	*app  `no-flag:"yes"`
	Epoch uint64    `long:"epoch" description:"epoch of an earlier map; the one in force if not given"`
	Args  groupArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *groupPinCommand) Execute([]string) error {
	return c.changeGroup(c.Args.Group, "pin", operators.GroupChange{Epoch: c.Epoch})
}

type groupChangeCommand struct {
	*app `no-flag:"yes"`
	verb string
	Args groupArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *groupChangeCommand) Execute([]string) error {
	return c.changeGroup(c.Args.Group, c.verb, operators.GroupChange{})
}

func (a *app) changeGroup(group, verb string, body operators.GroupChange) error {
	text, err := a.sendRequest(request{method: http.MethodPost, path: "/v1/groups/" + url.PathEscape(group) + "/" + verb, body: body})
	if err != nil {
		return err
	}
	var reply operators.GroupChange
	if err := json.Unmarshal(text, &reply); err != nil {
		return merry.Prepend(ErrServer, err.Error())
	}
	if reply.Detail != "" {
		fmt.Fprintln(a.stderr, reply.Detail)
	}
	return nil
}
