// Package quarantine detects poison requests: requests that crash every upstream that runs them.
// It tells them from requests that merely ran on an upstream when it crashed, and decides which
// requests are no longer sent to any upstream.
//
// A crash here is any unannounced end of an upstream process, that is of one incarnation of an
// upstream, while it was running requests.
//
// Table and Machine are pure: they use no sockets, goroutines or clocks. Entries, gateways and
// control replicas each keep a Table and exchange what they observe. Machine keeps quarantines on
// the replicated log, so that they outlive a restart of all processes.
package quarantine

import "github.com/ansel1/merry/v2"

// Errors of this package.
var (
	// ErrInvalidKey is returned for text that is not a request key.
	ErrInvalidKey = merry.Sentinel("invalid request key: 32 hexadecimal digits are needed")
	// ErrInvalidSuspicion is returned for a message of a peer that is malformed or exceeds a limit.
	ErrInvalidSuspicion = merry.Sentinel("invalid suspicion")
)
