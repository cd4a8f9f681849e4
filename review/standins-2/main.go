//go:build review

// Command review-2 plays the scripts of the second independent review: it starts the project's own
// programs as separate processes on loopback addresses, with small stand-ins for clients, servers and
// the operator, and judges by what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Processes are started from the main thread, with whose end they end as well.
func init() { runtime.LockOSThread() }

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays one case. It returns whether the rule was broken.
type scenario func(s *system, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"departure":   departure,
	"overwritten": overwritten,
	"planned":     planned,
	"stopping":    stopping,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE RECORD")
		return exitFailed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	rec, err := newRecorder(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	s, err := newSystem(rec, root)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer s.stop()
	broken, err := scenarios[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}
