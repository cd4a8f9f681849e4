package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/kernel"
)

// ErrNotClean is returned for a run whose report is not clean.
var ErrNotClean = merry.Sentinel("answers, refusals or runs were wrong")

const programName = "snipereach-load"

type cliOptions struct {
	Config          string        `long:"config" value-name:"FILE" description:"workload in TOML"`
	Check           bool          `long:"check-config" description:"check the workload and exit"`
	ServeFakes      bool          `long:"serve-fakes" description:"run the workload's fake upstreams in this process and count their runs"`
	Duration        time.Duration `long:"duration" description:"length of the run, in place of the workload's"`
	JSON            string        `long:"json" value-name:"FILE" description:"file for the results as JSON"`
	Plot            string        `long:"plot" value-name:"FILE" description:"file for the results over time as PNG"`
	Quiet           bool          `long:"quiet" description:"print no progress"`
	AllowAnyAddress bool          `long:"allow-any-address" description:"let load go to addresses that are not on the loopback"`
	Version         bool          `long:"version" description:"print the version and exit"`
}

// Main runs the command and returns its exit code: 0 for a clean report, 1 if the
// report is not clean or the run failed, 2 for invalid settings.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o cliOptions
	p := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return kernel.ExitFailed
	}
	if _, err := p.ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, fe.Message)
			return kernel.ExitOK
		}
		fmt.Fprintln(stderr, programName+":", err)
		return kernel.ExitSettings
	}
	if o.Version {
		fmt.Fprintln(stdout, programName, kernel.Version)
		return kernel.ExitOK
	}
	err := o.run(ctx, stdout, stderr)
	switch {
	case err == nil:
		return kernel.ExitOK
	case errors.Is(err, kernel.ErrSettings) || errors.Is(err, ErrNotLoopback):
		fmt.Fprintln(stderr, programName+":", err)
		return kernel.ExitSettings
	}
	fmt.Fprintln(stderr, programName+":", err)
	return kernel.ExitFailed
}

// ReadWorkload reads and checks a workload file. Errors name the file.
func ReadWorkload(path string) (*Settings, error) {
	s := DefaultSettings()
	if err := kernel.ReadSettings(path, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, merry.Prepend(err, path)
	}
	return s, nil
}

func (o *cliOptions) run(ctx context.Context, stdout, stderr io.Writer) error {
	if o.Config == "" {
		return merry.Prepend(kernel.ErrSettings, "--config FILE is needed")
	}
	s, err := ReadWorkload(o.Config)
	if err != nil {
		return err
	}
	if o.Duration != 0 {
		s.Duration = kernel.Duration(o.Duration)
		if err := s.Check(); err != nil {
			return merry.Prepend(err, "--duration")
		}
	}
	opts := Options{AnyAddress: o.AllowAnyAddress}
	if !o.Quiet {
		opts.Progress = stderr
	}
	if o.Check {
		if _, err := NewRunner(s, opts); err != nil {
			return err
		}
		fmt.Fprintln(stdout, o.Config+": valid")
		return nil
	}
	return o.runWith(ctx, s, opts, stdout)
}

func (o *cliOptions) runWith(ctx context.Context, s *Settings, opts Options, stdout io.Writer) error {
	if o.ServeFakes {
		fakes, err := StartFakes(s.Fakes)
		if err != nil {
			return err
		}
		defer fakes.Close()
		opts.Runs = fakes.Runs
	}
	r, err := NewRunner(s, opts)
	if err != nil {
		return err
	}
	if o.ServeFakes {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.Fakes.Settle.D()):
		}
	}
	rep, err := r.Run(ctx)
	if err != nil {
		return err
	}
	return o.write(rep, stdout)
}

func (o *cliOptions) write(rep *Report, stdout io.Writer) error {
	if err := rep.WriteTable(stdout); err != nil {
		return err
	}
	if err := writeFile(o.JSON, rep.WriteJSON); err != nil {
		return err
	}
	if err := writeFile(o.Plot, rep.WritePlot); err != nil {
		return err
	}
	if !rep.Clean() {
		return ErrNotClean
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
