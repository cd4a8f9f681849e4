// Command snipereachctl is the command-line tool for operators.
package main

import (
	"os"

	"github.com/snipereach/snipereach/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
