package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

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

// all lists the calls of a prefix.
func (w *world) all(prefix string) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, c := range w.order {
		if strings.HasPrefix(c.id, prefix+"-") {
			ids = append(ids, c.id)
		}
	}
	if len(ids) == 0 {
		return nil, merry.Prependf(ErrScript, "no calls %s-*", prefix)
	}
	return ids, nil
}

func (w *world) cmdExpectAll(prefix string, o options) error {
	ids, err := w.all(prefix)
	if err != nil {
		return err
	}
	for _, id := range ids {
		if err := w.expect(id, o); err != nil {
			return err
		}
	}
	return nil
}

// cmdRunsAll waits until every call of a prefix has run N times: calls at once
// arrive in any order, and the last one to arrive may be the first of the script.
func (w *world) cmdRunsAll(_ bool, args []string) error {
	if len(args) != 2 {
		return merry.Prepend(ErrScript, "runs-all PREFIX N")
	}
	ids, err := w.all(args[0])
	if err != nil {
		return err
	}
	for _, id := range ids {
		if err := w.cmdRuns(false, []string{id, args[1]}); err != nil {
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
			return fmt.Sprintf("%s ran %d times; %s", args[0], got, w.told(args[0]))
		}
		return ""
	})
}

// told lists what callers of a request were told so far.
func (w *world) told(key string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, c := range w.order {
		select {
		case <-c.done:
			if c.runKey == key {
				list = append(list, c.String())
			}
		default:
		}
	}
	if list == nil {
		return "no caller was answered"
	}
	return strings.Join(list, "; ")
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
