package kernel

import (
	"net"

	"github.com/ansel1/merry/v2"
)

// BadKey is the error for a key of the settings whose value is wrong.
func BadKey(key, detail string) error {
	return merry.Prependf(ErrSettings, "key %q: %s", key, detail)
}

// CheckAddress refuses a key whose values aren't all of the form HOST:PORT.
func CheckAddress(key string, values ...string) error {
	for _, v := range values {
		if _, _, err := net.SplitHostPort(v); err != nil {
			return BadKey(key, err.Error())
		}
	}
	return nil
}
