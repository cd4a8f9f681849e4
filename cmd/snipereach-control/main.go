// Command snipereach-control runs a control replica as a separate process.
package main

import (
	"os"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/control/daemon"
	"github.com/snipereach/snipereach/kernel"
	_ "github.com/snipereach/snipereach/platform"
)

func main() {
	os.Exit(kernel.Main(kernel.Program{
		Name:        "snipereach-control",
		NewSettings: func() any { return daemon.DefaultSettings() },
		Build: func(v any, l log.Logger) (kernel.Daemon, time.Duration, error) {
			s := v.(*daemon.Settings)
			s.Host.LimitRuntime()
			d, err := daemon.New(s, l)
			return d, s.StopLimit.D(), err
		},
	}, os.Args[1:], os.Stdout, os.Stderr))
}
