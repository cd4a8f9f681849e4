// Command snipereach-quickstart runs a small complete system in one process on loopback
// and prints example commands for it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quickstart"
)

type options struct {
	Log     string `long:"log" description:"lowest level to log: debug, info, warn, error" default:"warn"`
	Port    int    `long:"port" description:"callers' port of the first entry; 0 takes a free one" default:"8080"`
	Planner string `long:"planner" description:"make the engines one lock-step group with this planner, for example incremental"`
}

func main() {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).Parse(); err != nil {
		os.Exit(kernel.ExitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "snipereach-quickstart:", err)
		os.Exit(kernel.ExitFailed)
	}
}

func run(ctx context.Context, opts options) error {
	sys, err := quickstart.Start(ctx, quickstart.Options{
		Log: kernel.NewLog(os.Stderr, opts.Log), CallerPort: opts.Port, Planner: opts.Planner,
	})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	sys.Describe(os.Stdout)
	<-ctx.Done()
	return nil
}
