package kernel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
)

// Version is the release version, set by the linker.
var Version = "dev"

// Daemon is a long-running process.
type Daemon interface {
	// Start starts the daemon and returns.
	Start(ctx context.Context) error
	// Drain stops accepting work and returns once all requests in flight have
	// finished, or with the context's error.
	Drain(ctx context.Context) error
	// Stop releases all resources and aborts the requests still in flight. It
	// returns the number of aborted requests.
	Stop() int
}

// Reloader is implemented by daemons that reload their certificates on SIGHUP.
type Reloader interface{ Reload() error }

// Options are the command-line options of every daemon.
type Options struct {
	Config  string `long:"config" short:"c" description:"settings file (TOML)" value-name:"FILE"`
	Check   bool   `long:"check-config" description:"check the settings file and exit: 0 if it is valid"`
	Version bool   `long:"version" description:"print the version and exit"`
	Log     string `long:"log" description:"lowest level to log: debug, info, warn, error" default:"info"`
}

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Program describes a daemon to Main.
type Program struct {
	Name string
	// NewSettings returns a pointer to settings with their defaults set.
	NewSettings func() any
	// Build checks the settings and returns the daemon and its stop limit, the
	// longest time that it may drain.
	Build func(settings any, l log.Logger) (Daemon, time.Duration, error)
}

// Main parses the arguments, reads the settings and runs the daemon until a signal
// stops it. It returns the exit code.
func Main(p Program, args []string, stdout, stderr io.Writer) int {
	var opts Options
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		return usage(err, rest, stdout, stderr)
	}
	if opts.Version {
		fmt.Fprintln(stdout, p.Name, Version)
		return ExitOK
	}
	if opts.Config == "" {
		fmt.Fprintln(stderr, p.Name+": --config FILE is needed")
		return ExitSettings
	}
	settings := p.NewSettings()
	if err := ReadSettings(opts.Config, settings); err != nil {
		fmt.Fprintln(stderr, p.Name+": "+err.Error())
		return ExitSettings
	}
	logWriter := NewAsyncWriter(stdout)
	defer logWriter.Close()
	l := NewLog(logWriter, opts.Log)
	d, stopLimit, err := p.Build(settings, l)
	if err != nil {
		fmt.Fprintln(stderr, p.Name+": "+opts.Config+": "+err.Error())
		return ExitSettings
	}
	if opts.Check {
		fmt.Fprintln(stdout, opts.Config+": valid")
		return ExitOK
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := Serve(d, signals, stopLimit, PartLog(l, "kernel")); err != nil {
		fmt.Fprintln(stderr, p.Name+": "+err.Error())
		return ExitFailed
	}
	return ExitOK
}

func usage(err error, rest []string, stdout, stderr io.Writer) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, fe.Message)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
	} else {
		fmt.Fprintf(stderr, "unexpected argument %q\n", rest[0])
	}
	return ExitSettings
}

// Serve runs a daemon until a signal stops it. The first SIGTERM or SIGINT drains it;
// after stopLimit or a second signal the remaining requests are aborted. SIGHUP before
// that reloads a Reloader.
func Serve(d Daemon, signals <-chan os.Signal, stopLimit time.Duration, l log.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.Start(ctx); err != nil {
		d.Stop()
		return err
	}
	for sig := range signals {
		if sig == syscall.SIGHUP {
			reload(d, l)
			continue
		}
		break
	}
	return drain(ctx, d, signals, stopLimit, l)
}

func reload(d Daemon, l log.Logger) {
	r, ok := d.(Reloader)
	if !ok {
		return
	}
	if err := r.Reload(); err != nil {
		Warn(l, "Reload failed. The old certificates stay in force.", "err", err)
		return
	}
	Info(l, "Reloaded.")
}

func drain(ctx context.Context, d Daemon, signals <-chan os.Signal, limit time.Duration, l log.Logger) error {
	Info(l, "Draining.", "limit", limit)
	drainCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	go cancelOnSignal(drainCtx, cancel, signals)
	err := d.Drain(drainCtx)
	aborted := d.Stop()
	if err != nil || aborted > 0 {
		Warn(l, "Stopped before all work was done.", "requests_cut", aborted, "err", err)
		return nil
	}
	Info(l, "Stopped.", "requests_cut", 0)
	return nil
}

func cancelOnSignal(ctx context.Context, cancel context.CancelFunc, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}
}
