package scenario

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/quickstart"
)

// ErrScript is returned for a script line that is malformed or refers to an
// unknown part, call or edit.
var ErrScript = merry.Sentinel("invalid script line")

// callerName is the name of callers and operators on the fake network.
const callerName = "caller"

type worldKey struct{}

// world is the state of one running script: its system, the fake network, and the
// calls and edits that the script has made.
type world struct {
	layout quickstart.Layout
	sys    *quickstart.System
	net    *fake.Network
	client *http.Client

	mu        sync.Mutex
	calls     map[string]*call
	callOrder []*call
	edits     map[string]*edit
	aliases   map[string]string
	drains    map[string]chan drainResult
	nextEntry int
}

type drainResult struct {
	cutRequests int
	err         error
}

func newWorld(l quickstart.Layout) *world {
	w := &world{
		layout: l, net: fake.NewNetwork(), calls: map[string]*call{}, edits: map[string]*edit{},
		aliases: map[string]string{}, drains: map[string]chan drainResult{},
	}
	// net/http retries requests only on reused connections; without keep-alives it
	// never does.
	w.client = &http.Client{Transport: &http.Transport{
		DialContext: w.net.Dialer(callerName), DisableKeepAlives: true,
	}}
	return w
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

func (w *world) stop() {
	if w.sys != nil {
		w.restoreAll()
		w.sys.Stop()
	}
}

// restoreAll heals every link and thaws every part.
func (w *world) restoreAll() {
	w.net.HealAll()
	for _, name := range w.sys.PartNames() {
		w.net.Thaw(name)
		w.sys.Thaw(name)
	}
}

// options holds the name=value arguments of a script line, and its other words in
// positional.
type options struct {
	values     map[string]string
	positional []string
}

func parseOptions(args []string) options {
	o := options{values: map[string]string{}}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok && !strings.HasPrefix(name, "/") {
			o.values[name] = value
			continue
		}
		o.positional = append(o.positional, a)
	}
	return o
}

func (o options) intValue(name string, defaultValue int) int {
	n := defaultValue
	if text, ok := o.values[name]; ok {
		if _, err := fmt.Sscanf(text, "%d", &n); err != nil {
			return -1
		}
	}
	return n
}

// plainTimeout is timeout_ms of the plain service. It is long because scripts hold
// requests while parts stop and start, which can take seconds on a busy machine.
// A script that tests the deadline sets a shorter timeout on the call.
const plainTimeout = 30 * time.Second

// claimRound is claim_round of the entries. It is long enough for running claim
// registers to answer on a busy machine; stopped ones refuse the connection at once.
const claimRound = 3 * time.Second

func (w *world) startSystem(o options) error {
	if w.sys != nil || len(o.positional) > 0 {
		return merry.Prepend(ErrScript, "system [entries=N] [controls=N] [engines=N] [plains=N] [groups=yes] [claims=memory], once")
	}
	opts := quickstart.Options{
		Log: log.NewNopLogger(), Layout: w.layout, Network: w.net, FakeDisks: true, EntryListTTL: time.Second,
		Engines: o.intValue("engines", 3), Plains: o.intValue("plains", 3),
		Entries: o.intValue("entries", 3), Controls: o.intValue("controls", 0),
		PlainTimeout: plainTimeout, ClaimRound: claimRound,
	}
	if o.values["claims"] == "memory" {
		opts.DurableClaimEntries = -1
	}
	if o.values["groups"] == "yes" {
		opts.Planner = plannerRotate
	}
	var err error
	if w.sys, err = quickstart.Start(context.Background(), opts); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return w.sys.WaitReady(ctx)
}

// expandParts resolves words to part names. A word is a part, an alias, a failure
// domain, or one of "entries", "agents", "controls" and "parts".
func (w *world) expandParts(words ...string) ([]string, error) {
	var list []string
	for _, word := range words {
		w.mu.Lock()
		if name, ok := w.aliases[word]; ok {
			word = name
		}
		w.mu.Unlock()
		found := w.matchParts(word)
		if len(found) == 0 {
			return nil, merry.Prependf(ErrScript, "no part %q", word)
		}
		list = append(list, found...)
	}
	return list, nil
}

var partGroups = map[string]quickstart.Role{
	"entries": quickstart.RoleEntry, "agents": quickstart.RoleAgent, "controls": quickstart.RoleControl,
}

func (w *world) matchParts(word string) []string {
	if word == callerName {
		return []string{callerName}
	}
	var list []string
	role, isGroup := partGroups[word]
	for _, name := range w.sys.PartNames() {
		p, _ := w.sys.Part(name)
		if name == word || p.FailureDomain == word || word == "parts" || isGroup && p.Role == role {
			list = append(list, name)
		}
	}
	return list
}

// forEachPair calls f for each pair of a part of a and a part of b. Parts of a are
// removed from b, so that "hall-a parts" pairs a hall with all parts outside it.
func (w *world) forEachPair(a, b string, f func(x, y string)) error {
	left, err := w.expandParts(a)
	if err != nil {
		return err
	}
	right, err := w.expandParts(b)
	if err != nil {
		return err
	}
	inside := map[string]bool{}
	for _, x := range left {
		inside[x] = true
	}
	for _, x := range left {
		for _, y := range right {
			if !inside[y] {
				f(x, y)
			}
		}
	}
	return nil
}

// runningEntries returns the sorted names of the running entries.
func (w *world) runningEntries() []string {
	var list []string
	for _, name := range w.sys.PartNames() {
		if p, _ := w.sys.Part(name); p.Role == quickstart.RoleEntry && p.Running {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// pickEntry returns the entry named by the option via, or else the next running
// entry in round-robin order.
func (w *world) pickEntry(o options) (string, error) {
	if via, ok := o.values["via"]; ok {
		names, err := w.expandParts(via)
		if err != nil {
			return "", err
		}
		return names[0], nil
	}
	up := w.runningEntries()
	if len(up) == 0 {
		return "", merry.Prepend(ErrScript, "no entry is running")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextEntry++
	return up[w.nextEntry%len(up)], nil
}

// runCount returns how often a request ran, summed over all upstreams.
func (w *world) runCount(key string) int {
	n := 0
	for _, name := range w.sys.PartNames() {
		if p, _ := w.sys.Part(name); p.Upstream != nil {
			n += p.Upstream.Runs()[key]
		}
	}
	return n
}

// eventually polls f until it returns "". If waitTimeout passes first, the error
// holds the last text that f returned.
func eventually(f func() string) error {
	end := time.Now().Add(waitTimeout)
	for {
		missing := f()
		if missing == "" {
			return nil
		}
		if time.Now().After(end) {
			return merry.Prependf(errNotMet, "%s", missing)
		}
		time.Sleep(pollInterval)
	}
}

var errNotMet = merry.Sentinel("condition was not met")
