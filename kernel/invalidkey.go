package kernel

import (
	"net"

	"github.com/ansel1/merry/v2"
)

// InvalidKey returns an ErrSettings error that names an invalid settings key.
func InvalidKey(key, detail string) error {
	return merry.Prependf(ErrSettings, "key %q: %s", key, detail)
}

// CheckAddress returns an InvalidKey error unless all values have the form HOST:PORT.
func CheckAddress(key string, values ...string) error {
	for _, v := range values {
		if _, _, err := net.SplitHostPort(v); err != nil {
			return InvalidKey(key, err.Error())
		}
	}
	return nil
}
