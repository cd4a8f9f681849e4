// Command snipereach-sidecar runs a sidecar, which relays state reads and orders between
// control replicas and the rank on its host.
package main

import (
	"os"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
	_ "github.com/snipereach/snipereach/platform"
	"github.com/snipereach/snipereach/sidecar"
)

func main() {
	os.Exit(kernel.Main(kernel.Program{
		Name:        "snipereach-sidecar",
		NewSettings: func() any { return sidecar.DefaultSettings() },
		Build: func(v any, l log.Logger) (kernel.Daemon, time.Duration, error) {
			s := v.(*sidecar.Settings)
			s.Host.LimitRuntime()
			d, err := sidecar.New(s, l)
			return d, s.StopLimit.D(), err
		},
	}, os.Args[1:], os.Stdout, os.Stderr))
}
