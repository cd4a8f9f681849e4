package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/operators"
)

type statusCommand struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s operators.Status
	if err := c.getJSON("/v1/status", &s); err != nil {
		return err
	}
	if err := c.show(s, memberTable(s.Replicas), entryTable(s.Entries), upstreamTable(s.Upstreams)); err != nil {
		return err
	}
	if len(s.Evacuated) > 0 {
		fmt.Fprintln(c.stderr, "evacuated: "+strings.Join(s.Evacuated, ", "))
	}
	c.printHealth(s.Health, s.Detail)
	return nil
}

func (a *app) printHealth(health, detail string) {
	text := "health: " + health
	if detail != "" {
		text += " (" + detail + ")"
	}
	fmt.Fprintln(a.stderr, text)
}

func memberTable(list []operators.Member) textTable {
	s := textTable{header: []string{"replica", "role", "caught up", "index", "failure domain", "address"}}
	for _, r := range list {
		s.rows = append(s.rows, []string{r.ID, r.Role, strconv.FormatBool(r.CaughtUp), fmt.Sprint(r.Index), r.FailureDomain, r.Address})
	}
	return s
}

func entryTable(list []operators.EntryState) textTable {
	s := textTable{header: []string{"entry", "phase", "listed", "revision", "failure domain", "address"}}
	for _, e := range list {
		s.rows = append(s.rows, []string{e.ID, e.Phase, strconv.FormatBool(e.Listed), fmt.Sprint(e.Revision), e.FailureDomain, e.Address})
	}
	return s
}

func upstreamTable(list []operators.UpstreamState) textTable {
	s := textTable{header: []string{"upstream", "phase", "pools", "running", "waiting", "slots", "failure domain", "address"}}
	for _, u := range list {
		s.rows = append(s.rows, []string{
			u.ID, u.Phase, strings.Join(u.Pools, ","), fmt.Sprint(u.Running), fmt.Sprint(u.Waiting), fmt.Sprint(u.Slots),
			u.FailureDomain, u.Address,
		})
	}
	return s
}

type membersCommand struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *membersCommand) Execute([]string) error {
	var m operators.Members
	if err := c.getJSON("/v1/members", &m); err != nil {
		return err
	}
	if err := c.show(m, memberTable(m.Members)); err != nil {
		return err
	}
	c.printHealth(m.Health, m.Detail)
	return nil
}

type replicaArgs struct {
	ID string `positional-arg-name:"REPLICA" required:"yes" description:"NAME/INCARNATION, as members shows it"`
}

func (r replicaArgs) path(root string) string {
	name, incarnation, _ := strings.Cut(r.ID, "/")
	return root + "/" + url.PathEscape(name) + "/" + url.PathEscape(incarnation)
}

type removeCommand struct {
	*app `no-flag:"yes"`
	Args replicaArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *removeCommand) Execute([]string) error {
	return c.changeMembers(request{method: http.MethodDelete, path: c.Args.path("/v1/members")}, &operators.Members{})
}

// changeMembers sends a membership change, decodes the response into m, and prints
// its detail to standard error.
func (a *app) changeMembers(r request, m *operators.Members) error {
	text, err := a.sendRequest(r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, m); err != nil {
		return merry.Prepend(ErrServer, err.Error())
	}
	if m.Detail != "" {
		fmt.Fprintln(a.stderr, m.Detail)
	}
	return nil
}

// Limits of a replacement. Each request takes one step: a replica that has caught
// up is made a voter, then the lost one is removed.
const (
	maxReplaceRequests = 60
	replaceInterval    = 500 * time.Millisecond
)

type replaceCommand struct {
	*app `no-flag:"yes"`
	Args replicaArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *replaceCommand) Execute([]string) error {
	for range maxReplaceRequests {
		var m operators.Members
		if err := c.changeMembers(request{method: http.MethodPost, path: c.Args.path("/v1/replace")}, &m); err != nil {
			return err
		}
		if !slices.ContainsFunc(m.Members, func(r operators.Member) bool { return r.ID == c.Args.ID }) {
			c.printHealth(m.Health, "")
			return nil
		}
		time.Sleep(replaceInterval)
	}
	return merry.Prependf(ErrRefused, "%s is still a member; see status", c.Args.ID)
}

type drainCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		ID string `positional-arg-name:"HOST" required:"yes" description:"ID of an upstream or an entry"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	text, err := c.sendRequest(request{method: http.MethodPost, path: "/v1/drain/" + url.PathEscape(c.Args.ID)})
	if err != nil {
		return err
	}
	var d operators.DrainStatus
	if err := json.Unmarshal(text, &d); err != nil {
		return merry.Prepend(ErrServer, err.Error())
	}
	return c.show(d, textTable{
		header: []string{"leaving", "running", "waiting"},
		rows:   [][]string{{d.ID, fmt.Sprint(d.Running), fmt.Sprint(d.Waiting)}},
	})
}

type dumpCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		ID string `positional-arg-name:"HOST" description:"ID of an upstream, an entry or a control replica; the entry that is asked if not given"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	path := "/debug/state"
	if c.Args.ID != "" {
		path = "/v1/dump/" + url.PathEscape(c.Args.ID)
	}
	text, err := c.sendRequest(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(text)
	return err
}
