// Package configcheck checks, from what callers have been answered, whether gateways have refused
// requests in the name of a configuration that had been replaced. Tests share it.
package configcheck

import (
	"fmt"
	"net/http"
	"time"
)

// Answer is what a caller got for a request that a version of the configuration is the first to allow.
type Answer struct {
	Gateway string
	SentAt  time.Time
	Status  int
	// AllowedBy is the first version that allows the request.
	AllowedBy uint64
}

// refuses reports whether a status says that the configuration doesn't allow a request. Any 5xx, also
// that of a gateway that can't tell, says nothing about the configuration.
func refuses(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return true
	}
	return false
}

// CheckRefusals returns an error that names the first request that was sent longer than applyTime after the
// version that allows it was acknowledged, and was refused as only an older version says; nil if there is
// none. acknowledged has the time of each version's acknowledgement.
func CheckRefusals(acknowledged map[uint64]time.Time, applyTime time.Duration, answers []Answer) error {
	var broken []Answer
	for _, a := range answers {
		at, ok := acknowledged[a.AllowedBy]
		if ok && refuses(a.Status) && a.SentAt.Sub(at) > applyTime {
			broken = append(broken, a)
		}
	}
	if len(broken) == 0 {
		return nil
	}
	first := broken[0]
	return fmt.Errorf("%d requests were refused as an older version says, the first by %s with %d, %s after version %d was acknowledged",
		len(broken), first.Gateway, first.Status, first.SentAt.Sub(acknowledged[first.AllowedBy]).Round(time.Millisecond), first.AllowedBy)
}
