package kernel

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration written as text in settings ("250ms", "5s").
type Duration time.Duration

// UnmarshalText parses a Go duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a Go duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns the time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Defaulter is settings with a part that stands in the file or not: what is left
// out of a part that stands there takes its default after the file was read.
type Defaulter interface{ SetDefaults() }

// ReadSettings decodes a TOML file strictly into v. The error names the file,
// the line and the key.
func ReadSettings(path string, v any) error {
	f, err := os.Open(path)
	if err != nil {
		return merry.Prepend(ErrSettings, err.Error())
	}
	defer f.Close()
	if err := decodeStrict(f, v); err != nil {
		return merry.Prepend(err, path)
	}
	if d, ok := v.(Defaulter); ok {
		d.SetDefaults()
	}
	return nil
}

// decodeStrict refuses unknown keys: a misspelt key would otherwise leave a
// default in force without a word.
func decodeStrict(r io.Reader, v any) error {
	err := toml.NewDecoder(r).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := missing.Errors[0]
		line, _ := first.Position()
		return merry.Prepend(ErrSettings, fmt.Sprintf("line %d: unknown key %q", line, strings.Join(first.Key(), ".")))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return merry.Prepend(ErrSettings, fmt.Sprintf("line %d: key %q: %s", line, strings.Join(decode.Key(), "."), decode.Error()))
	}
	return merry.Prepend(ErrSettings, err.Error())
}
