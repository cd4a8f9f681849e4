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

// addQuarantine adds the command of requests that end upstreams.
func (a *app) addQuarantine(p *flags.Parser) error {
	q, err := p.AddCommand("quarantine", "show requests under which upstreams ended", "", &listSuspicions{app: a})
	if err != nil {
		return err
	}
	q.SubcommandsOptional = true
	_, err = q.AddCommand("lift", "have a request sent to upstreams again", "", &liftQuarantine{app: a})
	return err
}

type listSuspicions struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *listSuspicions) Execute([]string) error {
	var list operators.SuspectedRequests
	if err := c.get("/v1/quarantine", &list); err != nil {
		return err
	}
	s := sheet{head: []string{"key", "team", "route", "state", "ended", "last", "upstreams"}}
	for _, r := range list.Requests {
		s.rows = append(s.rows, []string{
			r.Key, r.Team, r.Route, quarantineState(r), fmt.Sprint(len(r.Upstreams)), inSeconds(r.AgeMS) + " ago", strings.Join(r.Upstreams, " "),
		})
	}
	return c.show(list, s)
}

func quarantineState(s quarantine.Shown) string {
	if !s.Quarantined {
		return "suspected"
	}
	return "quarantined for " + inSeconds(int64(s.LeftMS))
}

func inSeconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

type liftQuarantine struct {
	*app `no-flag:"yes"`
	Args struct {
		Key string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *liftQuarantine) Execute([]string) error {
	_, err := c.call(request{method: http.MethodDelete, path: "/v1/quarantine/" + url.PathEscape(c.Args.Key)})
	return err
}
