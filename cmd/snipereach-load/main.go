// Command snipereach-load sends a workload to a running system and reports the results.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/snipereach/snipereach/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := load.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
