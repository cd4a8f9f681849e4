// Command snipereach-agent runs the agent of an upstream.
package main

import (
	"os"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/kernel"
)

func main() {
	os.Exit(kernel.Main(kernel.Program{
		Name:        "snipereach-agent",
		NewSettings: func() any { return agent.DefaultSettings() },
		Build: func(v any, l log.Logger) (kernel.Daemon, time.Duration, error) {
			s := v.(*agent.Settings)
			s.Host.LimitRuntime()
			d, err := agent.New(s, l)
			return d, s.StopLimit.D(), err
		},
	}, os.Args[1:], os.Stdout, os.Stderr))
}
