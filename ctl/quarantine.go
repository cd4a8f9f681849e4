package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quarantine"
)

func (a *app) addQuarantineCommands(p *flags.Parser) error {
	q, err := p.AddCommand("quarantine", "show requests during which upstreams ended", "", &quarantineCommand{app: a})
	if err != nil {
		return err
	}
	q.SubcommandsOptional = true
	_, err = q.AddCommand("lift", "allow a request to be sent to upstreams again", "", &quarantineLiftCommand{app: a})
	return err
}

type quarantineCommand struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	var list operators.SuspectedRequests
	if err := c.getJSON("/v1/quarantine", &list); err != nil {
		return err
	}
	s := textTable{header: []string{"key", "team", "route", "state", "ended", "last", "upstreams", "part"}}
	for _, r := range list.Requests {
		s.rows = append(s.rows, []string{
			r.Key, r.Team, r.Route, suspicionState(r), fmt.Sprint(len(r.Upstreams)), formatSeconds(r.AgeMS) + " ago", strings.Join(r.Upstreams, " "), r.Part,
		})
	}
	return c.show(list, s)
}

func suspicionState(s quarantine.SuspicionView) string {
	if !s.Quarantined {
		return "suspected"
	}
	return "quarantined for " + formatSeconds(int64(s.LeftMS))
}

func formatSeconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

type quarantineLiftCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		Key string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *quarantineLiftCommand) Execute([]string) error {
	_, err := c.sendRequest(request{method: http.MethodDelete, path: "/v1/quarantine/" + url.PathEscape(c.Args.Key)})
	return err
}
