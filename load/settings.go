// Package load is an open-loop load generator for a running system. It sends
// requests at their intended times regardless of earlier ones, checks every answer
// against its request, resends requests of unknown outcome through another entry,
// and reports the outcomes and latencies that callers saw.
//
// The arrivals (Plan), the check of answers (checkTokens, checkEcho) and the audit
// do no I/O; Runner does it with goroutines and sockets.
package load

import (
	"net"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
)

var (
	// ErrNotLoopback is returned for an address outside the loopback.
	ErrNotLoopback = merry.Sentinel("address is not on the loopback")
	// ErrNoEntries is returned if no entry returns the list of entries.
	ErrNoEntries = merry.Sentinel("no entry gives the list of entries")
)

// Limits of a run; maxRate is in requests per second.
const (
	maxDuration = 24 * time.Hour
	maxRate     = 100_000
)

// Settings describes a workload and is read from a TOML file.
type Settings struct {
	// Entries are the addresses from which the list of entries is fetched.
	Entries  []string        `toml:"entries"`
	Duration kernel.Duration `toml:"duration"`
	// Drain is how long to wait for answers after the last request.
	Drain kernel.Duration `toml:"drain"`
	Seed  uint64          `toml:"seed"`
	// MaxInFlight bounds the tool's in-flight requests. A request that is due
	// beyond it is counted as unsent, because the tool is overloaded, not the
	// system.
	MaxInFlight int        `toml:"max_in_flight"`
	Day         []DayPoint `toml:"day"`
	Team        []Team     `toml:"team"`
	Class       []Class    `toml:"class"`
	Fakes       Fakes      `toml:"fakes"`
}

// DayPoint is one point of the day's load curve: the factor of all rates at a fraction
// of the duration. Between points the factor is interpolated linearly.
type DayPoint struct {
	At     float64 `toml:"at"`
	Factor float64 `toml:"factor"`
}

// Team is a team and the bearer key that its requests carry.
type Team struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
}

// Values of Class.Kind.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Class is one kind of request.
type Class struct {
	Name string `toml:"name"`
	// Kind is KindEngine (chat completions) or KindPlain (a plain service).
	Kind string `toml:"kind"`
	// Target is the model of an engine class, the service of a plain one.
	Target string `toml:"target"`
	// Path is the path of a plain call; "{n}" is replaced by the request's number.
	Path string `toml:"path"`
	// Rate is in requests per second at factor 1.
	Rate float64 `toml:"rate"`
	// Teams send the class in equal shares; all teams if empty.
	Teams    []string `toml:"teams"`
	Priority string   `toml:"priority"`
	// Idempotent marks requests that may run more than once.
	Idempotent bool `toml:"idempotent"`
	// Keys gives each request an idempotency key, which makes it safe to resend.
	Keys bool `toml:"keys"`
	// Resends is how often a request of unknown outcome may be resent.
	Resends int             `toml:"resends"`
	Timeout kernel.Duration `toml:"timeout"`
	// Stream to PrefixChars apply to engine classes. Prefixes is the number of
	// distinct prompt prefixes and PrefixChars their length in bytes.
	Stream      bool `toml:"stream"`
	MinTokens   int  `toml:"min_tokens"`
	MaxTokens   int  `toml:"max_tokens"`
	Prefixes    int  `toml:"prefixes"`
	PrefixChars int  `toml:"prefix_chars"`
	// Check is "echo", which requires answers as the fakes give them, or "none".
	Check string `toml:"check"`
}

// Values of Class.Check.
const (
	checkModeEcho = "echo"
	checkModeNone = "none"
)

// Fakes are fake upstreams that the tool can run in its own process.
type Fakes struct {
	// Settle is the delay between their start and the first request, in which the
	// system discovers them.
	Settle kernel.Duration `toml:"settle"`
	Engine []FakeServer    `toml:"engine"`
	Plain  []FakeServer    `toml:"plain"`
}

// FakeServer is one fake upstream. Work is the duration of a plain request or of
// one decoding step.
type FakeServer struct {
	Listen string          `toml:"listen"`
	Slots  int             `toml:"slots"`
	Work   kernel.Duration `toml:"work"`
}

// DefaultSettings returns the settings that apply to keys absent from the file.
func DefaultSettings() *Settings {
	return &Settings{
		Duration: kernel.Duration(30 * time.Second), Drain: kernel.Duration(10 * time.Second),
		Seed: 1, MaxInFlight: 4096, Fakes: Fakes{Settle: kernel.Duration(2 * time.Second)},
	}
}

const defaultTimeout = 30 * time.Second

// Check returns an error that names the first invalid key. It fills in the defaults
// of the classes.
func (s *Settings) Check() error {
	switch {
	case len(s.Entries) == 0:
		return kernel.InvalidKey("entries", "must name at least one entry")
	case s.Duration <= 0 || s.Duration.D() > maxDuration:
		return kernel.InvalidKey("duration", "must be over 0 and at most 24h")
	case s.Drain < 0 || s.Drain.D() > time.Hour:
		return kernel.InvalidKey("drain", "must be from 0 to 1h")
	case s.MaxInFlight < 1:
		return kernel.InvalidKey("max_in_flight", "must be at least 1")
	case len(s.Team) == 0:
		return kernel.InvalidKey("team", "at least one is needed")
	case len(s.Class) == 0:
		return kernel.InvalidKey("class", "at least one is needed")
	}
	for _, f := range append(append([]FakeServer(nil), s.Fakes.Engine...), s.Fakes.Plain...) {
		if err := CheckLoopback(f.Listen); err != nil {
			return kernel.InvalidKey("fakes.listen", err.Error())
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
			return kernel.InvalidKey("day.at", "must be from 0 to 1 and not decrease")
		}
		if p.Factor < 0 {
			return kernel.InvalidKey("day.factor", "must not be negative")
		}
		last = p.At
	}
	return nil
}

func (s *Settings) checkClasses() error {
	teams := map[string]bool{}
	for _, t := range s.Team {
		if t.Name == "" || t.Key == "" || teams[t.Name] {
			return kernel.InvalidKey("team", "each needs a key and a unique name")
		}
		teams[t.Name] = true
	}
	names := map[string]bool{}
	for i := range s.Class {
		c := &s.Class[i]
		if c.Name == "" || names[c.Name] {
			return kernel.InvalidKey("class.name", "each class needs a unique name")
		}
		names[c.Name] = true
		for _, t := range c.Teams {
			if !teams[t] {
				return kernel.InvalidKey("class.teams", "class "+c.Name+": no team "+t)
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
		return kernel.InvalidKey("class.kind", "must be engine or plain")
	case c.Target == "":
		return kernel.InvalidKey("class.target", "must name a model or a service")
	case c.Kind == KindPlain && !strings.HasPrefix(c.Path, "/"):
		return kernel.InvalidKey("class.path", "must begin with /")
	case c.Rate <= 0 || c.Rate > maxRate:
		return kernel.InvalidKey("class.rate", "must be over 0 and at most 100000")
	case c.Check != checkModeEcho && c.Check != checkModeNone:
		return kernel.InvalidKey("class.check", "must be echo or none")
	case c.Resends < 0 || c.Resends > 20:
		return kernel.InvalidKey("class.resends", "must be from 0 to 20")
	case c.Resends > 0 && !c.Idempotent && !c.Keys:
		// A resend without an idempotency key could run the request twice.
		return kernel.InvalidKey("class.resends", "needs keys or idempotent")
	case c.Timeout < 0:
		return kernel.InvalidKey("class.timeout", "must not be negative")
	}
	return nil
}

// CheckLoopback returns ErrNotLoopback unless address is a loopback IP address with
// a port.
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
