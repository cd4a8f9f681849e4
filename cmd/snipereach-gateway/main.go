// Command snipereach-gateway runs a gateway, which routes HTTP requests by host and
// path.
package main

import (
	"os"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/gateway"
	"github.com/snipereach/snipereach/kernel"
	_ "github.com/snipereach/snipereach/platform"
)

func main() {
	os.Exit(kernel.Main(kernel.Program{
		Name:        "snipereach-gateway",
		NewSettings: func() any { return gateway.DefaultSettings() },
		Build: func(v any, l log.Logger) (kernel.Daemon, time.Duration, error) {
			s := v.(*gateway.Settings)
			s.Host.LimitRuntime()
			g, err := gateway.New(s, l)
			return g, s.StopLimit.D(), err
		},
	}, os.Args[1:], os.Stdout, os.Stderr))
}
