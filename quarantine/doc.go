// Package quarantine tells requests that end each upstream that runs them from those that
// merely ran beside one, and decides which are no longer sent to any.
//
// It holds no sockets, goroutines or clocks. Entries and control replicas keep a Table each
// and tell each other what they have seen; what is decided for longer than any process lives
// is kept by a Machine on the replicated log.
package quarantine

import "github.com/ansel1/merry/v2"

// Errors of this layer.
var (
	// ErrKey is returned for a text that is no key.
	ErrKey = merry.Sentinel("no key of a request: 32 hexadecimal digits are expected")
	// ErrMessage is returned for a message of a peer that can't be taken.
	ErrMessage = merry.Sentinel("suspicion can't be taken")
)
