// Command snipereach-entry runs an entry, which routes callers' requests to upstreams.
package main

import (
	"os"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/kernel"
)

func main() {
	os.Exit(kernel.Main(kernel.Program{
		Name:        "snipereach-entry",
		NewSettings: func() any { return entry.DefaultSettings() },
		Build: func(v any, l log.Logger) (kernel.Daemon, time.Duration, error) {
			s := v.(*entry.Settings)
			s.Host.LimitRuntime()
			d, err := entry.New(s, l)
			return d, s.StopLimit.D(), err
		},
	}, os.Args[1:], os.Stdout, os.Stderr))
}
