// Package load is an open-loop load and experiment tool for a running system. It
// sends requests at their intended times whatever became of earlier ones, checks
// every answer against its own request, sends requests whose outcome is unknown
// again through another entry, and says what callers saw.
//
// Decisions are pure: the arrivals (Plan), the check of an answer (checkTokens,
// checkEcho) and the audit of runs take values and return values. Runner drives
// them with goroutines and sockets.
package load

import (
	"net"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
)

// Errors of this layer.
var (
	// ErrNotLoopback is returned for an address that load may not go to.
	ErrNotLoopback = merry.Sentinel("address is not on the loopback")
	// ErrNoEntries is returned when no entry gives the list of entries.
	ErrNoEntries = merry.Sentinel("no entry gives the list of entries")
)

// Bounds of a run.
const (
	maxDuration = 24 * time.Hour
	maxRate     = 100_000
)

// Settings of a workload, as its TOML file gives them.
type Settings struct {
	// Entries are the addresses that are asked for the list of entries.
	Entries  []string        `toml:"entries"`
	Duration kernel.Duration `toml:"duration"`
	// Drain is the wait for answers after the last request.
	Drain kernel.Duration `toml:"drain"`
	Seed  uint64          `toml:"seed"`
	// MaxInFlight bounds the tool. A request that is due beyond it is counted as
	// unsent: the tool, not the system, was at its end.
	MaxInFlight int     `toml:"max_in_flight"`
	Day         []Point `toml:"day"`
	Team        []Team  `toml:"team"`
	Class       []Class `toml:"class"`
	Fakes       Fakes   `toml:"fakes"`
}

// Point is one point of the day's shape: a factor of the rates at a fraction of
// the duration. Between points the factor changes linearly.
type Point struct {
	At     float64 `toml:"at"`
	Factor float64 `toml:"factor"`
}

// Team sends requests under its key.
type Team struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
}

// Kinds of a class.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Class is one kind of request.
type Class struct {
	Name string `toml:"name"`
	// Kind is engine (chat completions) or plain (a call to a plain service).
	Kind string `toml:"kind"`
	// Target is the model of an engine class, the service of a plain one.
	Target string `toml:"target"`
	// Path of a plain call; "{n}" stands for the request's number.
	Path string `toml:"path"`
	// Rate at factor 1, in requests a second.
	Rate float64 `toml:"rate"`
	// Teams that send it, in equal parts; all if empty.
	Teams    []string `toml:"teams"`
	Priority string   `toml:"priority"`
	// Idempotent says that the request may be run more than once.
	Idempotent bool `toml:"idempotent"`
	// Keys gives each request an idempotency key, so that it can be sent again
	// although it may not be run again.
	Keys bool `toml:"keys"`
	// Resends is how often a request of unknown outcome is sent again.
	Resends int             `toml:"resends"`
	Timeout kernel.Duration `toml:"timeout"`
	// Stream, tokens and prompts of an engine class. Prefixes is how many
	// different prompt prefixes there are, PrefixChars their length.
	Stream      bool `toml:"stream"`
	MinTokens   int  `toml:"min_tokens"`
	MaxTokens   int  `toml:"max_tokens"`
	Prefixes    int  `toml:"prefixes"`
	PrefixChars int  `toml:"prefix_chars"`
	// Check is echo where the upstreams answer as the fakes do, or none.
	Check string `toml:"check"`
}

// Checks of answers.
const (
	checkModeEcho = "echo"
	checkModeNone = "none"
)

// Fakes are upstreams that the tool may run in its own process.
type Fakes struct {
	// Settle is the wait between their start and the first request, in which the
	// system finds them.
	Settle kernel.Duration `toml:"settle"`
	Engine []FakeServer    `toml:"engine"`
	Plain  []FakeServer    `toml:"plain"`
}

// FakeServer is one fake upstream. Work is the time of a plain request or of one
// decoding step.
type FakeServer struct {
	Listen string          `toml:"listen"`
	Slots  int             `toml:"slots"`
	Work   kernel.Duration `toml:"work"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{
		Duration: kernel.Duration(30 * time.Second), Drain: kernel.Duration(10 * time.Second),
		Seed: 1, MaxInFlight: 4096, Fakes: Fakes{Settle: kernel.Duration(2 * time.Second)},
	}
}

const defaultTimeout = 30 * time.Second

// Check names the first key that is wrong, and fills in the defaults of classes.
func (s *Settings) Check() error {
	switch {
	case len(s.Entries) == 0:
		return kernel.BadKey("entries", "must name at least one entry")
	case s.Duration <= 0 || s.Duration.D() > maxDuration:
		return kernel.BadKey("duration", "must be over 0 and at most 24h")
	case s.Drain < 0 || s.Drain.D() > time.Hour:
		return kernel.BadKey("drain", "must be from 0 to 1h")
	case s.MaxInFlight < 1:
		return kernel.BadKey("max_in_flight", "must be at least 1")
	case len(s.Team) == 0:
		return kernel.BadKey("team", "at least one is needed")
	case len(s.Class) == 0:
		return kernel.BadKey("class", "at least one is needed")
	}
	for _, f := range append(append([]FakeServer(nil), s.Fakes.Engine...), s.Fakes.Plain...) {
		if err := CheckLoopback(f.Listen); err != nil {
			return kernel.BadKey("fakes.listen", err.Error())
		}
	}
	if err := kernel.CheckAddress("entries", s.Entries...); err != nil {
		return err
	}
	if err := s.checkDay(); err != nil {
		return err
	}
	return s.checkClasses()
}

func (s *Settings) checkDay() error {
	last := 0.0
	for _, p := range s.Day {
		if p.At < last || p.At > 1 {
			return kernel.BadKey("day.at", "must rise from 0 to 1")
		}
		if p.Factor < 0 {
			return kernel.BadKey("day.factor", "must not be negative")
		}
		last = p.At
	}
	return nil
}

func (s *Settings) checkClasses() error {
	teams := map[string]bool{}
	for _, t := range s.Team {
		if t.Name == "" || t.Key == "" || teams[t.Name] {
			return kernel.BadKey("team", "each needs a key and a name of its own")
		}
		teams[t.Name] = true
	}
	names := map[string]bool{}
	for i := range s.Class {
		c := &s.Class[i]
		if c.Name == "" || names[c.Name] {
			return kernel.BadKey("class.name", "each class needs a name of its own")
		}
		names[c.Name] = true
		for _, t := range c.Teams {
			if !teams[t] {
				return kernel.BadKey("class.teams", "class "+c.Name+": no team "+t)
			}
		}
		if err := c.check(); err != nil {
			return merry.Prepend(err, "class "+c.Name)
		}
	}
	return nil
}

func (c *Class) check() error {
	if c.Check == "" {
		c.Check = checkModeEcho
	}
	if c.Timeout == 0 {
		c.Timeout = kernel.Duration(defaultTimeout)
	}
	c.MinTokens = max(c.MinTokens, 1)
	c.MaxTokens = max(c.MaxTokens, c.MinTokens)
	switch {
	case c.Kind != KindEngine && c.Kind != KindPlain:
		return kernel.BadKey("class.kind", "must be engine or plain")
	case c.Target == "":
		return kernel.BadKey("class.target", "must name a model or a service")
	case c.Kind == KindPlain && !strings.HasPrefix(c.Path, "/"):
		return kernel.BadKey("class.path", "must begin with /")
	case c.Rate <= 0 || c.Rate > maxRate:
		return kernel.BadKey("class.rate", "must be over 0 and at most 100000")
	case c.Check != checkModeEcho && c.Check != checkModeNone:
		return kernel.BadKey("class.check", "must be echo or none")
	case c.Resends < 0 || c.Resends > 20:
		return kernel.BadKey("class.resends", "must be from 0 to 20")
	case c.Resends > 0 && !c.Idempotent && !c.Keys:
		// Without a key a resend of a request that may have run runs it again.
		return kernel.BadKey("class.resends", "needs keys or idempotent")
	case c.Timeout < 0:
		return kernel.BadKey("class.timeout", "must not be negative")
	}
	return nil
}

// CheckLoopback refuses an address that is not on the loopback.
func CheckLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return merry.Prepend(ErrNotLoopback, err.Error())
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return merry.Prepend(ErrNotLoopback, address)
	}
	return nil
}
