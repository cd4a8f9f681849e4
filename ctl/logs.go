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

// readLogs reads the lines of files, one after the other; "-" is the standard input. It says on
// standard error how much was no line of a process.
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
		fmt.Fprintf(a.stderr, "%d line(s) that no process has written were left out\n", skipped)
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

type trace struct {
	*app `no-flag:"yes"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// traced is what is shown of one request.
type traced struct {
	Request string       `json:"request"`
	Cause   string       `json:"cause"`
	Lines   []tracedLine `json:"lines"`
}

type tracedLine struct {
	At   time.Time `json:"at"`
	File string    `json:"file"`
	Text string    `json:"text"`
}

// Execute implements flags.Commander.
func (c *trace) Execute([]string) error {
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
		return merry.Errorf("no line of request %q in %d file(s); lines are bounded, see lines_left_out", c.Args.Request, len(c.Args.Files))
	}
	slices.SortStableFunc(lines, func(a, b logread.Line) int { return a.At.Compare(b.At) })
	found := traced{Request: c.Args.Request, Cause: causeOf(lines)}
	s := sheet{head: []string{"file", "line"}}
	for _, l := range lines {
		found.Lines = append(found.Lines, tracedLine{At: l.At, File: l.Source, Text: l.Text})
		s.rows = append(s.rows, []string{l.Source, l.Text})
	}
	s.rows = append(s.rows, []string{"", found.Cause})
	return c.show(found, s)
}

// causeOf is what became of a request, by the last of its lines that tells.
func causeOf(lines []logread.Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		if e, ok := logread.ParseEnded(&lines[i]); ok {
			return e.Sentence()
		}
	}
	return "Its end stands in none of these files."
}

type losses struct {
	*app    `no-flag:"yes"`
	Window  time.Duration `long:"window" default:"5s" description:"time that one row is of" value-name:"TIME"`
	Service string        `long:"service" description:"count requests of this service only" value-name:"NAME"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// leastWindow is the shortest time that a row may be of.
const leastWindow = 100 * time.Millisecond

// Execute implements flags.Commander.
func (c *losses) Execute([]string) error {
	if c.Window < leastWindow {
		return merry.Prependf(ErrUsage, "--window %v is under %v", c.Window, leastWindow)
	}
	sum := logread.NewLosses(c.Window)
	err := c.readLogs(c.Args.Files, func(l logread.Line) {
		if e, ok := logread.ParseEnded(&l); ok && (c.Service == "" || e.Service == c.Service) {
			sum.Add(&e)
		}
	})
	if err != nil {
		return err
	}
	return c.show(sum.Windows(), lossSheet(sum))
}

// lossSheet has a row for each window and one for all, and a column for each cause.
func lossSheet(sum *logread.Losses) sheet {
	total := sum.Total()
	causes := total.ByNumber()
	s := sheet{head: []string{"from", "ended", "left out"}}
	for _, cause := range causes {
		s.head = append(s.head, string(cause))
	}
	row := func(name string, w *logread.Window) {
		cells := []string{name, strconv.Itoa(w.Ended), strconv.FormatInt(w.LeftOut, 10)}
		for _, cause := range causes {
			cells = append(cells, strconv.Itoa(w.Causes[cause]))
		}
		s.rows = append(s.rows, cells)
	}
	for _, w := range sum.Windows() {
		row(w.From.Format("15:04:05.0"), w)
	}
	row("all", total)
	return s
}
