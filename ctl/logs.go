package ctl

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/logread"
)

// readLogs calls f for the log lines of files, one file after the other; "-" is standard input.
// It prints the number of unreadable lines to standard error.
func (a *app) readLogs(files []string, f func(logread.Line)) error {
	skipped := 0
	for _, name := range files {
		n, err := a.readLog(name, f)
		if err != nil {
			return err
		}
		skipped += n
	}
	if skipped > 0 {
		fmt.Fprintf(a.stderr, "%d line(s) skipped: not in the log format\n", skipped)
	}
	return nil
}

func (a *app) readLog(name string, f func(logread.Line)) (skipped int, err error) {
	if name == "-" {
		return logread.Read(name, a.stdin, f)
	}
	file, err := os.Open(name)
	if err != nil {
		return 0, merry.Prependf(ErrUsage, "%v", err)
	}
	defer func(c io.Closer) { _ = c.Close() }(file)
	return logread.Read(name, file, f)
}

type traceCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// requestTrace holds the log lines of a request and its outcome.
type requestTrace struct {
	Request string             `json:"request"`
	Cause   string             `json:"cause"`
	Lines   []requestTraceLine `json:"lines"`
}

type requestTraceLine struct {
	At   time.Time `json:"at"`
	File string    `json:"file"`
	Text string    `json:"text"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	var lines []logread.Line
	err := c.readLogs(c.Args.Files, func(l logread.Line) {
		if l.Get("request") == c.Args.Request {
			lines = append(lines, l)
		}
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return merry.Errorf("no line of request %q in %d file(s); the rate of log lines is limited, see lines_left_out", c.Args.Request, len(c.Args.Files))
	}
	slices.SortStableFunc(lines, func(a, b logread.Line) int { return a.At.Compare(b.At) })
	found := requestTrace{Request: c.Args.Request, Cause: requestOutcome(lines)}
	s := textTable{header: []string{"file", "line"}}
	for _, l := range lines {
		found.Lines = append(found.Lines, requestTraceLine{At: l.At, File: l.Source, Text: l.Text})
		s.rows = append(s.rows, []string{l.Source, l.Text})
	}
	s.rows = append(s.rows, []string{"", found.Cause})
	return c.show(found, s)
}

// requestOutcome describes the outcome of a request, by its last line that has one.
func requestOutcome(lines []logread.Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		if e, ok := logread.ParseEndedRequest(&lines[i]); ok {
			return e.Sentence()
		}
	}
	return "No line in these files records the end of the request."
}

type lossesCommand struct {
	*app    `no-flag:"yes"`
	Window  time.Duration `long:"window" default:"5s" description:"time that one row is of" value-name:"TIME"`
	Service string        `long:"service" description:"count requests of this service only" value-name:"NAME"`
	By      string        `long:"by" description:"count requests apart; by priority only" value-name:"priority"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// byPriority is the value of --by that splits the counts by priority.
const byPriority = "priority"

const minWindow = 100 * time.Millisecond

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	if c.Window < minWindow {
		return merry.Prependf(ErrUsage, "--window %v is under %v", c.Window, minWindow)
	}
	if c.By != "" && c.By != byPriority {
		return merry.Prependf(ErrUsage, "--by %s isn't --by %s", c.By, byPriority)
	}
	sum := logread.NewCauseCounter(c.Window)
	if c.By == byPriority {
		sum.SplitByPriority()
	}
	err := c.readLogs(c.Args.Files, func(l logread.Line) {
		if e, ok := logread.ParseEndedRequest(&l); ok && (c.Service == "" || e.Service == c.Service) {
			sum.Add(&e)
		}
	})
	if err != nil {
		return err
	}
	return c.show(sum.Windows(), lossTable(sum, c.By == byPriority))
}

// lossTable has a row for each time window and one for the total, and a column for each cause. Split by
// priority, it has a row for each priority in a window and in the total.
func lossTable(sum *logread.CauseCounter, split bool) textTable {
	total := sum.Total()
	causes := total.CausesByCount()
	s := textTable{header: []string{"from", "ended", "left out"}}
	for _, cause := range causes {
		s.header = append(s.header, string(cause))
	}
	row := func(name, priority string, w *logread.Window) {
		values := lossRow(name, w, causes)
		if split {
			values = slices.Insert(values, 1, priority)
		}
		s.rows = append(s.rows, values)
	}
	for _, w := range sum.Windows() {
		row(w.From.Format("15:04:05.0"), priorityText(w), w)
	}
	if split {
		s.header = slices.Insert(s.header, 1, "priority")
		for _, w := range sum.TotalsByPriority() {
			row("all", priorityText(w), w)
		}
	}
	row("all", "all", total)
	return s
}

func lossRow(name string, w *logread.Window, causes []logread.Cause) []string {
	values := []string{name, strconv.Itoa(w.Ended), strconv.FormatInt(w.LeftOut, 10)}
	for _, cause := range causes {
		values = append(values, strconv.Itoa(w.Causes[cause]))
	}
	return values
}

// priorityText returns the priority of the requests in a window, or "-" if they have none.
func priorityText(w *logread.Window) string {
	if w.Priority == nil {
		return "-"
	}
	return formatCount(*w.Priority)
}
