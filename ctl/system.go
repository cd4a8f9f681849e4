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

type status struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	var s operators.Status
	if err := c.get("/v1/status", &s); err != nil {
		return err
	}
	if err := c.show(s, memberSheet(s.Replicas), entrySheet(s.Entries), upstreamSheet(s.Upstreams)); err != nil {
		return err
	}
	c.health(s.Health, s.Detail)
	return nil
}

func (a *app) health(health, detail string) {
	text := "health: " + health
	if detail != "" {
		text += " (" + detail + ")"
	}
	fmt.Fprintln(a.stderr, text)
}

func memberSheet(list []operators.Member) sheet {
	s := sheet{head: []string{"replica", "role", "caught up", "index", "failure domain", "address"}}
	for _, r := range list {
		s.rows = append(s.rows, []string{r.ID, r.Role, strconv.FormatBool(r.CaughtUp), fmt.Sprint(r.Index), r.FailureDomain, r.Address})
	}
	return s
}

func entrySheet(list []operators.EntryState) sheet {
	s := sheet{head: []string{"entry", "phase", "listed", "revision", "failure domain", "address"}}
	for _, e := range list {
		s.rows = append(s.rows, []string{e.ID, e.Phase, strconv.FormatBool(e.Listed), fmt.Sprint(e.Revision), e.FailureDomain, e.Address})
	}
	return s
}

func upstreamSheet(list []operators.UpstreamState) sheet {
	s := sheet{head: []string{"upstream", "phase", "pools", "running", "waiting", "slots", "failure domain", "address"}}
	for _, u := range list {
		s.rows = append(s.rows, []string{
			u.ID, u.Phase, strings.Join(u.Pools, ","), fmt.Sprint(u.Running), fmt.Sprint(u.Waiting), fmt.Sprint(u.Slots),
			u.FailureDomain, u.Address,
		})
	}
	return s
}

type members struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *members) Execute([]string) error {
	var m operators.Members
	if err := c.get("/v1/members", &m); err != nil {
		return err
	}
	if err := c.show(m, memberSheet(m.Members)); err != nil {
		return err
	}
	c.health(m.Health, m.Detail)
	return nil
}

// replicaArgs name one control replica.
type replicaArgs struct {
	ID string `positional-arg-name:"REPLICA" required:"yes" description:"NAME/INCARNATION, as members shows it"`
}

func (r replicaArgs) path(root string) string {
	name, incarnation, _ := strings.Cut(r.ID, "/")
	return root + "/" + url.PathEscape(name) + "/" + url.PathEscape(incarnation)
}

type remove struct {
	*app `no-flag:"yes"`
	Args replicaArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *remove) Execute([]string) error {
	return c.order(request{method: http.MethodDelete, path: c.Args.path("/v1/members")}, &operators.Members{})
}

// order sends an order and tells what it has brought about.
func (a *app) order(r request, m *operators.Members) error {
	text, err := a.call(r)
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

// Steps of a replacement: the newcomer votes, then the lost one goes.
const (
	maxReplaceSteps = 60
	replaceInterval = 500 * time.Millisecond
)

type replace struct {
	*app `no-flag:"yes"`
	Args replicaArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *replace) Execute([]string) error {
	for range maxReplaceSteps {
		var m operators.Members
		if err := c.order(request{method: http.MethodPost, path: c.Args.path("/v1/replace")}, &m); err != nil {
			return err
		}
		if !slices.ContainsFunc(m.Members, func(r operators.Member) bool { return r.ID == c.Args.ID }) {
			c.health(m.Health, "")
			return nil
		}
		time.Sleep(replaceInterval)
	}
	return merry.Prependf(ErrRefused, "%s is still a member; see status", c.Args.ID)
}

type drain struct {
	*app `no-flag:"yes"`
	Args struct {
		ID string `positional-arg-name:"HOST" required:"yes" description:"ID of an upstream or an entry"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drain) Execute([]string) error {
	text, err := c.call(request{method: http.MethodPost, path: "/v1/drain/" + url.PathEscape(c.Args.ID)})
	if err != nil {
		return err
	}
	var d operators.Drained
	if err := json.Unmarshal(text, &d); err != nil {
		return merry.Prepend(ErrServer, err.Error())
	}
	return c.show(d, sheet{
		head: []string{"leaving", "running", "waiting"},
		rows: [][]string{{d.ID, fmt.Sprint(d.Running), fmt.Sprint(d.Waiting)}},
	})
}

type dump struct {
	*app `no-flag:"yes"`
	Args struct {
		ID string `positional-arg-name:"HOST" description:"ID of an upstream, an entry or a control replica; the entry that is asked if not given"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *dump) Execute([]string) error {
	path := "/debug/state"
	if c.Args.ID != "" {
		path = "/v1/dump/" + url.PathEscape(c.Args.ID)
	}
	text, err := c.call(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(text)
	return err
}
