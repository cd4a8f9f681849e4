package admit

import (
	"math"
	"time"
)

// When an entry asks. A question for each subject in each half second would be most
// of what limits cost: an entry asks when its grant is about to end, when the home
// said so, when its demand has changed, and when it has something to give back.
const (
	// askGap bounds the questions for a subject whose demand moves all the time.
	askGap = ShareCheck
	// askAhead lets questions that are due soon go along with one that is due.
	askAhead = 750 * time.Millisecond
	// changedPart of a demand, beyond what chance does, is a change.
	changedPart = 0.25
	// chance is how many standard deviations of a count are taken for chance.
	chance = 2
	// idleRate is the rate of requests below which a subject asks for no share.
	idleRate = 0.05
	// idleAfter is when a subject without requests is forgotten. A bucket that is
	// made anew starts empty, so nothing is gained by it.
	idleAfter = 10 * time.Second
	// A share is given up when quietRequests would have come by the latest rate and
	// none did, and after quietPauses of the longest pause that callers lately came
	// back from, but not before quietLeast and not after quietMost.
	quietRequests = 8
	quietPauses   = 2
	quietLeast    = 200 * time.Millisecond
	quietMost     = 2 * time.Second
)

// question is what was asked last for a subject.
type question struct {
	demand Demand
	sent   time.Time
	// answer is when the question that was answered last was sent, and again when
	// to ask at the latest, by that answer.
	answer, again time.Time
	// stale is set when the row, or the time that requests need, is not the one that
	// the grant was made for.
	stale bool
	// smaller is set by a grant that is smaller than the one before: the home counts
	// that one until it is told.
	smaller bool
}

func (q *question) answered(sent time.Time, g Share, before Amounts) {
	q.answer = sent
	again := g.Again
	if again <= 0 {
		// A home of an earlier release doesn't say when.
		again = ShareInterval
	}
	q.again = sent.Add(again)
	q.smaller = muchLess(g.Amounts, before)
}

// muchLess says whether others can do something with what a grant lacks.
func muchLess(a, before Amounts) bool {
	less := func(a, b float64) bool { return a < b*(1-changedPart/2) }
	return less(a.Requests, before.Requests) || less(a.Tokens, before.Tokens) || less(a.Concurrent, before.Concurrent)
}

// due says whether the home is to be asked for a subject now.
func (loc *local) due(now time.Time, d Demand) bool {
	q := &loc.question
	since := now.Sub(q.sent)
	switch {
	case q.sent.IsZero():
		return d.Wanted != Amounts{} || d.Running > 0
	case q.smaller:
		return true
	case since < askGap:
		return false
	case q.answer.Before(q.sent):
		return since >= ShareInterval
	case q.stale:
		return true
	case d.Wanted == Amounts{} && q.demand.Wanted == Amounts{}:
		return shrank(q.demand.Running, d.Running, 1)
	}
	return !now.Before(q.again) || loc.changed(now, d)
}

// changed says whether the demand is no longer what was asked for: it has outgrown
// the share, or others can do something with what it no longer needs.
func (loc *local) changed(now time.Time, d Demand) bool {
	if (d.Wanted == Amounts{}) != (loc.question.demand.Wanted == Amounts{}) {
		return true
	}
	was, is, share := loc.question.demand.Wanted, d.Wanted, loc.share(now)
	perSecond := 1 / meterWindow.Seconds()
	request := 0.0
	if is.Requests+was.Requests > 0 {
		request = (is.Tokens + was.Tokens) / (is.Requests + was.Requests)
	}
	return moved(was.Requests, is.Requests, share.Requests, perSecond) ||
		moved(was.Tokens, is.Tokens, share.Tokens, request*perSecond) ||
		moved(was.Concurrent, is.Concurrent, share.Concurrent, 1)
}

func moved(was, is, share, unit float64) bool {
	return shrank(was, is, unit) || is > share && shrank(is, was, unit)
}

// shrank says whether an amount that is counted in units has become smaller by more
// than chance does.
func shrank(was, is, unit float64) bool {
	return was-is > was*changedPart+chance*math.Sqrt(was*unit)
}

// quiet says whether callers have gone away, so that the share is of no use here.
func (loc *local) quiet(now time.Time) bool {
	requests, _ := loc.asked.rates(now)
	after := quietMost
	if requests > 0 {
		byRate := time.Duration(quietRequests / requests * float64(time.Second))
		after = min(after, max(byRate, quietPauses*loc.pauses.longest()))
	}
	return now.Sub(loc.seen) >= max(after, quietLeast)
}

// pauses knows the longest pause between requests of one or two pauseWindows. Callers
// that come in pulses would lose what they may save up with a share that is given up
// between two of them.
type pauses struct {
	window       time.Time
	now, earlier time.Duration
}

const pauseWindow = 10 * time.Second

func (p *pauses) longest() time.Duration { return max(p.now, p.earlier) }

// add notes a pause that has ended. A longer one than quietMost is not one between
// pulses: the share was given up in it.
func (p *pauses) add(now time.Time, pause time.Duration) {
	if now.Sub(p.window) >= pauseWindow {
		p.window, p.earlier, p.now = now, p.now, 0
	}
	if pause < quietMost {
		p.now = max(p.now, pause)
	}
}

// Due says whether the home is to be asked for anything now.
func (l *Limiter) Due(now time.Time) bool {
	for _, loc := range l.subjects {
		if loc.due(now, l.demand(now, loc)) {
			return true
		}
	}
	return false
}

// DueFor says whether the home is to be asked for a subject now.
func (l *Limiter) DueFor(now time.Time, s Subject) bool {
	loc := l.subjects[s]
	return loc != nil && loc.due(now, l.demand(now, loc))
}

// Report returns what to ask the home for. A home that has not yet been told all
// that is in progress here is told it. The caller adds who it is.
func (l *Limiter) Report(now time.Time) (Report, map[Subject]Demand) {
	whole := l.home == "" || l.home != l.told
	list := map[Subject]Demand{}
	for s, loc := range l.subjects {
		if now.Sub(loc.seen) > idleAfter && loc.running == 0 {
			delete(l.subjects, s)
			continue
		}
		d := l.demand(now, loc)
		if !whole && !loc.due(now.Add(askAhead), d) {
			continue
		}
		if (d.Wanted == Amounts{}) && (loc.grant(now) != Amounts{}) {
			loc.release(now)
			d = l.demand(now, loc)
		}
		loc.question.ask(now, d)
		list[s] = d
	}
	l.seq++
	return Report{Seq: l.seq, Home: l.home, Partial: !whole}, list
}

func (q *question) ask(now time.Time, d Demand) {
	q.sent, q.demand = now, d
	q.stale, q.smaller = false, false
}

// demand of a subject that has gone quiet is nothing, whatever its rate was: what it
// holds is given up at once, and others need not wait for the grant's end.
func (l *Limiter) demand(now time.Time, loc *local) Demand {
	d := Demand{Running: max(float64(loc.running)-Floor(loc.limit, loc.entries).Concurrent, 0)}
	if loc.home == l.home {
		d.Ack = loc.epoch
	}
	requests, tokens := loc.asked.rates(now)
	if loc.quiet(now) || requests < idleRate && loc.running == 0 {
		return d
	}
	d.Wanted = Amounts{
		Requests: requests, Tokens: tokens,
		Concurrent: float64(loc.running) + math.Ceil(requests*meterWindow.Seconds()) + 1,
	}
	return d
}

// Answered notes that a home answered a report; it names itself unless it may not
// grant yet. It returns true for another home than before, which waits to be told
// what is in progress here.
func (l *Limiter) Answered(r Report, home string) (changed bool) {
	if home == "" {
		return false
	}
	if r.Home == home && !r.Partial {
		l.told = home
	}
	changed = home != l.home
	l.home = home
	return changed
}
