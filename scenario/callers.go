package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// cmdCalls starts N concurrent calls with the IDs PREFIX-1 to PREFIX-N.
func (w *world) cmdCalls(_ bool, args []string) error {
	if len(args) < 3 {
		return merry.Prepend(ErrScript, "calls PREFIX N model|plain ...")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := range n {
		if err := w.startCall(fmt.Sprintf("%s-%d", args[0], i+1), parseOptions(args[2:])); err != nil {
			return err
		}
	}
	return nil
}

// callUntilAnswered retries a request, as PREFIX-1, PREFIX-2 and so on, until it
// gets a whole answer. Each refusal before that must say "not run" and carry
// Retry-After.
func (w *world) callUntilAnswered(prefix string, o options) error {
	end := time.Now().Add(waitTimeout)
	for n := 1; ; n++ {
		id := fmt.Sprintf("%s-%d", prefix, n)
		if err := w.startCall(id, o); err != nil {
			return err
		}
		c, err := w.waitCall(id)
		if err != nil || c.answerState() == "whole" {
			return err
		}
		if c.problem.Outcome != "not-run" || c.property("retry-after") != "yes" || time.Now().After(end) {
			return merry.Prependf(errMismatch, "not answered: %s", c)
		}
		time.Sleep(pollInterval)
	}
}

// disconnectCaller cancels a call, which closes the caller's connection.
func (w *world) disconnectCaller(id string) error {
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
	if len(o.positional) > 0 || len(o.values) == 0 {
		return merry.Prepend(ErrScript, "expect ID name=value ...")
	}
	if w.edits[id] != nil {
		return w.expectEdit(id, o)
	}
	return w.expectCall(id, o)
}

// callIDs returns the IDs of the calls with a prefix.
func (w *world) callIDs(prefix string) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, c := range w.callOrder {
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
	ids, err := w.callIDs(prefix)
	if err != nil {
		return err
	}
	for _, id := range ids {
		if err := w.expectCall(id, o); err != nil {
			return err
		}
	}
	return nil
}

// cmdRunsAll waits until every call of a prefix has run N times. It waits for each
// of them, since concurrent calls arrive in any order.
func (w *world) cmdRunsAll(_ bool, args []string) error {
	if len(args) != 2 {
		return merry.Prepend(ErrScript, "runs-all PREFIX N")
	}
	ids, err := w.callIDs(args[0])
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

// cmdExactly checks that a property has the given value in exactly N of the listed
// calls or edits.
func (w *world) cmdExactly(_ bool, args []string) error {
	o := parseOptions(args)
	if len(o.positional) < 3 || len(o.values) != 1 {
		return merry.Prepend(ErrScript, "exactly N name=value ID ID...")
	}
	n, matched := o.positional[0], 0
	var last error
	for _, id := range o.positional[1:] {
		if err := w.cmdExpect(id, options{values: o.values}); err != nil {
			last = err
			continue
		}
		matched++
	}
	if strconv.Itoa(matched) != n {
		return merry.Prependf(errMismatch, "%d match; last mismatch: %v", matched, last)
	}
	return nil
}

// cmdRuns waits until a request has run exactly N times.
func (w *world) cmdRuns(_ bool, args []string) error {
	if len(args) != 2 {
		return merry.Prepend(ErrScript, "runs KEY N")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return eventually(func() string {
		if got := w.runCount(args[0]); got != n {
			return fmt.Sprintf("%s ran %d times; %s", args[0], got, w.describeAnswers(args[0]))
		}
		return ""
	})
}

// describeAnswers describes the calls of a request that have ended so far.
func (w *world) describeAnswers(key string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, c := range w.callOrder {
		select {
		case <-c.done:
			if c.runKey == key {
				list = append(list, c.String())
			}
		default:
		}
	}
	if list == nil {
		return "no call has ended"
	}
	return strings.Join(list, "; ")
}

// waitUpstreamIdle waits until no request runs at the upstream of an agent.
func (w *world) waitUpstreamIdle(name string) error {
	p, _ := w.sys.Part(name)
	if p.Upstream == nil {
		return nil
	}
	return eventually(func() string {
		if n := p.Upstream.Running(); n > 0 {
			return fmt.Sprintf("%d requests are running at the upstream of %s", n, name)
		}
		return ""
	})
}
