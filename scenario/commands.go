package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipereach/snipereach/fake"
)

// command is one command of the language.
type command func(w *world, neg bool, args []string) error

// commands lists the language; docs/design/scenario.md says what each does.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	list := map[string]command{
		"system": (*world).cmdSystem,
		// Parts.
		"crash":     each((*world).crash),
		"start":     each((*world).startPart),
		"drain":     each((*world).drain),
		"drained":   each((*world).drained),
		"freeze":    each(func(w *world, p string) error { return w.freeze(p, w.net.Cut) }),
		"thaw":      each(func(w *world, p string) error { return w.freeze(p, w.net.Heal) }),
		"lose-disk": each(func(w *world, p string) error { return w.sys.LoseDisk(p) }),
		"name":      (*world).cmdName,
		// Links and upstreams.
		"cut":     (*world).cmdCut,
		"heal":    (*world).cmdHeal,
		"delay":   (*world).cmdDelay,
		"answers": (*world).cmdAnswers,
		"release": each((*world).release),
		// Groups.
		"maps":         (*world).cmdMaps,
		"steps":        (*world).cmdSteps,
		"restart-rank": (*world).cmdRestartRank,
		// Callers.
		"call":       withID((*world).call),
		"calls":      (*world).cmdCalls,
		"insist":     withID((*world).insist),
		"leave":      withID(func(w *world, id string, _ options) error { return w.leave(id) }),
		"expect":     withID((*world).cmdExpect),
		"expect-all": withID((*world).cmdExpectAll),
		"exactly":    (*world).cmdExactly,
		"explain":    withID((*world).explain),
		"runs":       (*world).cmdRuns,
		"idle":       each((*world).idle),
		"closed":     each((*world).closed),
		"listed":     (*world).cmdListed,
		"upstreams":  (*world).cmdUpstreams,
		"granting":   each((*world).granting),
		// Operators.
		"edit":     withID((*world).edit),
		"edits":    (*world).cmdEdits,
		"in-force": withID(func(w *world, id string, _ options) error { return w.inForce(id) }),
		"row":      (*world).cmdRow,
		"health":   (*world).cmdHealth,
		"leader":   (*world).cmdLeader,
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range list {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			w := worldOf(ts)
			err := error(nil)
			switch {
			case neg && !mayNegate[name]:
				err = merry.Prependf(ErrScript, "! has no meaning before %s", name)
			case w.sys == nil && name != "system":
				err = merry.Prepend(ErrScript, "system comes first")
			default:
				err = f(w, neg, args)
			}
			if err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return out
}

var mayNegate = map[string]bool{"listed": true, "leader": true}

// each makes a command that does one thing to each part that it names.
func each(f func(*world, string) error) command {
	return func(w *world, _ bool, args []string) error {
		parts, err := w.expand(args...)
		if err != nil {
			return err
		}
		for _, p := range parts {
			if err := f(w, p); err != nil {
				return err
			}
		}
		return nil
	}
}

// withID makes a command whose first word is an ID.
func withID(f func(*world, string, options) error) command {
	return func(w *world, _ bool, args []string) error {
		if len(args) == 0 {
			return merry.Prepend(ErrScript, "an ID is needed")
		}
		return f(w, args[0], parse(args[1:]))
	}
}

func (w *world) cmdSystem(_ bool, args []string) error { return w.start(parse(args)) }

func (w *world) crash(name string) error {
	if p, _ := w.sys.Part(name); !p.Running {
		return merry.Prependf(ErrScript, "%s doesn't run", name)
	}
	w.sys.Kill(name)
	return nil
}

func (w *world) startPart(name string) error { return w.sys.StartPart(context.Background(), name) }

// drain begins a planned stop; drained waits for its end.
func (w *world) drain(name string) error {
	done := make(chan drained, 1)
	w.mu.Lock()
	w.drains[name] = done
	w.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		cut, err := w.sys.Drain(ctx, name)
		done <- drained{cut, err}
	}()
	return nil
}

func (w *world) drained(name string) error {
	w.mu.Lock()
	done := w.drains[name]
	w.mu.Unlock()
	if done == nil {
		return merry.Prependf(ErrScript, "%s was not told to drain", name)
	}
	d := <-done
	if d.err != nil || d.cut != 0 {
		return merry.Prependf(errOther, "planned stop of %s cut %d requests: %v", name, d.cut, d.err)
	}
	return nil
}

// freeze stops, or lets go on, every link of a part without a word.
func (w *world) freeze(name string, change func(from, to string)) error {
	for _, other := range append(w.sys.Names(), callerName) {
		if other != name {
			change(name, other)
			change(other, name)
		}
	}
	return nil
}

func (w *world) cmdName(_ bool, args []string) error {
	if len(args) != 2 || args[1] != "leader" {
		return merry.Prepend(ErrScript, "name ALIAS leader")
	}
	leader, err := w.leader()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aliases[args[0]] = leader
	return nil
}

// cmdCut cuts both ways, or with "A -> B" what A sends to B.
func (w *world) cmdCut(_ bool, args []string) error {
	switch {
	case len(args) == 2:
		return w.between(args[0], args[1], func(x, y string) { w.net.Cut(x, y); w.net.Cut(y, x) })
	case len(args) == 3 && args[1] == "->":
		return w.between(args[0], args[2], w.net.Cut)
	}
	return merry.Prepend(ErrScript, "cut A B, or cut A -> B")
}

func (w *world) cmdHeal(_ bool, args []string) error {
	if len(args) == 0 {
		w.net.HealAll()
		return nil
	}
	if len(args) != 2 {
		return merry.Prepend(ErrScript, "heal, or heal A B")
	}
	return w.between(args[0], args[1], func(x, y string) { w.net.Heal(x, y); w.net.Heal(y, x) })
}

func (w *world) cmdDelay(_ bool, args []string) error {
	if len(args) != 3 {
		return merry.Prepend(ErrScript, "delay A B DURATION")
	}
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	return w.between(args[0], args[1], func(x, y string) { w.net.Delay(x, y, d); w.net.Delay(y, x, d) })
}

var faults = map[string]fake.Fault{
	"well": fake.FaultNone, "die-before": fake.FaultDieBefore, "die-after-run": fake.FaultDieAfterRun,
	"cut": fake.FaultCut, "crossed": fake.FaultCrossed, "never": fake.FaultStall,
	"held": fake.FaultHeld, "oversized": fake.FaultOversized, "cut-short": fake.FaultCutShort,
}

func (w *world) cmdAnswers(_ bool, args []string) error {
	if len(args) < 2 {
		return merry.Prepend(ErrScript, "answers PART... FAULT")
	}
	fault, ok := faults[args[len(args)-1]]
	if !ok {
		return merry.Prependf(ErrScript, "no fault %q", args[len(args)-1])
	}
	parts, err := w.expand(args[:len(args)-1]...)
	if err != nil {
		return err
	}
	for _, name := range parts {
		if p, _ := w.sys.Part(name); p.Upstream != nil {
			p.Upstream.SetFault(func(*http.Request) fake.Fault { return fault })
		}
	}
	return nil
}

func (w *world) release(name string) error {
	p, _ := w.sys.Part(name)
	if p.Upstream != nil {
		p.Upstream.SetFault(nil)
		p.Upstream.Release()
	}
	return nil
}

// cmdCalls makes N calls at once, PREFIX-1 to PREFIX-N.
func (w *world) cmdCalls(_ bool, args []string) error {
	if len(args) < 3 {
		return merry.Prepend(ErrScript, "calls PREFIX N model|plain ...")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := range n {
		if err := w.call(fmt.Sprintf("%s-%d", args[0], i+1), parse(args[2:])); err != nil {
			return err
		}
	}
	return nil
}

// insist sends a request anew, as PREFIX-1, PREFIX-2 and so on, while it is told
// "not run" and when to come back, until it is answered whole.
func (w *world) insist(prefix string, o options) error {
	end := time.Now().Add(patience)
	for n := 1; ; n++ {
		id := fmt.Sprintf("%s-%d", prefix, n)
		if err := w.call(id, o); err != nil {
			return err
		}
		c, err := w.answered(id)
		if err != nil || c.answer() == "whole" {
			return err
		}
		if c.problem.Outcome != "not-run" || c.seen("retry-after") != "yes" || time.Now().After(end) {
			return merry.Prependf(errOther, "not answered: %s", c)
		}
		time.Sleep(poll)
	}
}

// leave closes the caller's connection.
func (w *world) leave(id string) error {
	w.mu.Lock()
	c := w.calls[id]
	w.mu.Unlock()
	if c == nil {
		return merry.Prependf(ErrScript, "no call %q", id)
	}
	c.cancel()
	<-c.done
	return nil
}

func (w *world) cmdExpect(id string, o options) error {
	if len(o.rest) > 0 || len(o.values) == 0 {
		return merry.Prepend(ErrScript, "expect ID name=value ...")
	}
	if w.edits[id] != nil {
		return w.expectEdit(id, o)
	}
	return w.expect(id, o)
}

func (w *world) cmdExpectAll(prefix string, o options) error {
	w.mu.Lock()
	var ids []string
	for _, c := range w.order {
		if strings.HasPrefix(c.id, prefix+"-") {
			ids = append(ids, c.id)
		}
	}
	w.mu.Unlock()
	if len(ids) == 0 {
		return merry.Prependf(ErrScript, "no calls %s-*", prefix)
	}
	for _, id := range ids {
		if err := w.expect(id, o); err != nil {
			return err
		}
	}
	return nil
}

// cmdExactly checks of how many calls or edits something holds.
func (w *world) cmdExactly(_ bool, args []string) error {
	o := parse(args)
	if len(o.rest) < 3 || len(o.values) != 1 {
		return merry.Prepend(ErrScript, "exactly N name=value ID ID...")
	}
	n, held := o.rest[0], 0
	var last error
	for _, id := range o.rest[1:] {
		if err := w.cmdExpect(id, options{values: o.values}); err != nil {
			last = err
			continue
		}
		held++
	}
	if strconv.Itoa(held) != n {
		return merry.Prependf(errOther, "holds of %d: %v", held, last)
	}
	return nil
}

// cmdRuns waits until a request has run N times, and fails at once over that.
func (w *world) cmdRuns(_ bool, args []string) error {
	if len(args) != 2 {
		return merry.Prepend(ErrScript, "runs KEY N")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return eventually(func() string {
		if got := w.runs(args[0]); got != n {
			return fmt.Sprintf("%s ran %d times", args[0], got)
		}
		return ""
	})
}

// idle waits until nothing runs at the upstream beside an agent.
func (w *world) idle(name string) error {
	p, _ := w.sys.Part(name)
	if p.Upstream == nil {
		return nil
	}
	return eventually(func() string {
		if n := p.Upstream.Running(); n > 0 {
			return fmt.Sprintf("%d requests run beside %s", n, name)
		}
		return ""
	})
}

// closed waits until an entry that drains takes no more connections of callers.
func (w *world) closed(name string) error {
	e := w.sys.Entry(name)
	if e == nil {
		return merry.Prependf(ErrScript, "%s doesn't run", name)
	}
	address := e.CallerAddress()
	return eventually(func() string {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return ""
		}
		_ = conn.Close()
		return name + " takes connections"
	})
}

// cmdListed waits until an entry stands, or doesn't, in the list for callers.
func (w *world) cmdListed(neg bool, args []string) error {
	o := parse(args)
	names, err := w.expand(o.rest...)
	if err != nil {
		return err
	}
	return eventually(func() string {
		via, err := w.entry(o)
		if err != nil {
			return err.Error()
		}
		listed, err := w.list(via)
		if err != nil {
			return err.Error()
		}
		for _, name := range names {
			if slices.Contains(listed, name) == neg {
				return fmt.Sprintf("%s lists %v", via, listed)
			}
		}
		return ""
	})
}

// granting waits until an entry's claim register may grant any key.
func (w *world) granting(name string) error {
	return eventually(func() string {
		if e := w.sys.Entry(name); e == nil || !e.ClaimsGranting() {
			return name + " grants no claims yet"
		}
		return ""
	})
}

func (w *world) list(via string) ([]string, error) {
	e := w.sys.Entry(via)
	if e == nil {
		return nil, merry.Prependf(ErrScript, "%s doesn't run", via)
	}
	resp, err := w.client.Get("http://" + e.CallerAddress() + "/v1/entries")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list struct {
		Entries []struct {
			ID string `json:"id"`
		} `json:"entries"`
	}
	err = json.NewDecoder(resp.Body).Decode(&list)
	var ids []string
	for _, x := range list.Entries {
		ids = append(ids, x.ID)
	}
	return ids, err
}

// cmdUpstreams waits until every running entry, or one, sees N upstreams of a pool.
func (w *world) cmdUpstreams(_ bool, args []string) error {
	o := parse(args)
	if len(o.rest) != 2 {
		return merry.Prepend(ErrScript, "upstreams POOL N [via=ENTRY]")
	}
	n, err := strconv.Atoi(o.rest[1])
	if err != nil {
		return err
	}
	return eventually(func() string {
		names := w.runningEntries()
		if via := o.values["via"]; via != "" {
			if names, err = w.expand(via); err != nil {
				return err.Error()
			}
		}
		for _, name := range names {
			if e := w.sys.Entry(name); e != nil && e.Upstreams()[o.rest[0]] != n {
				return fmt.Sprintf("%s sees %v", name, e.Upstreams())
			}
		}
		return ""
	})
}

// cmdEdits makes N edits of one row, one after the other: the column's value
// counts up to N. The last one has the ID PREFIX.
func (w *world) cmdEdits(_ bool, args []string) error {
	given := parse(args)
	args = given.rest
	if len(args) != 5 {
		return merry.Prepend(ErrScript, "edits ID N KIND KEY COLUMN [via=ENTRY]")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := 1; i <= n; i++ {
		id := args[0]
		if i < n {
			id = fmt.Sprintf("%s-%d", args[0], i)
		}
		o := parse([]string{args[2], args[3], args[4] + "=" + strconv.Itoa(i), "resend=yes"})
		if via := given.values["via"]; via != "" {
			o.values["via"] = via
		}
		if err := w.edit(id, o); err != nil {
			return err
		}
		if err := w.expectEdit(id, parse([]string{"status=200"})); err != nil {
			return err
		}
	}
	return nil
}

// cmdRow compares a row as it stands.
func (w *world) cmdRow(_ bool, args []string) error {
	o := parse(args)
	if len(o.rest) != 2 {
		return merry.Prepend(ErrScript, "row KIND KEY [via=ENTRY] column=value ...")
	}
	via := ""
	if o.values["via"] != "" {
		var err error
		if via, err = w.entry(o); err != nil {
			return err
		}
		delete(o.values, "via")
	}
	row, err := w.readRow(via, o.rest[0], o.rest[1])
	if err != nil {
		return err
	}
	for name, want := range o.values {
		if row.Columns[name] != want {
			return merry.Prependf(errOther, "row is %+v", row)
		}
	}
	return nil
}

// cmdHealth waits until the replicated log is in a state.
func (w *world) cmdHealth(_ bool, args []string) error {
	if len(args) != 1 {
		return merry.Prepend(ErrScript, "health ok|degraded")
	}
	return eventually(func() string {
		m, err := w.members("")
		if err != nil {
			return err.Error()
		}
		if m.Health != args[0] {
			return fmt.Sprintf("%+v", *m)
		}
		return ""
	})
}

// cmdLeader waits until a part leads the log, or another one does.
func (w *world) cmdLeader(neg bool, args []string) error {
	names, err := w.expand(args...)
	if err != nil {
		return err
	}
	return eventually(func() string {
		leader, err := w.leader()
		if err != nil {
			return err.Error()
		}
		if slices.Contains(names, leader) == neg {
			return leader + " leads"
		}
		return ""
	})
}
