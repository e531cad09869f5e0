// Package tomlfile decodes TOML into typed structs and reports all of a file's
// mistakes at once, each with its line and key. It checks form only; what the
// values mean is checked by the packages that own them.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// maxMistakes bounds the mistakes reported for one file.
const maxMistakes = 50

// Duration is a time span written as a string such as "250ms" or "30s".
type Duration time.Duration

// UnmarshalText parses the duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms or 30s", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Decode decodes data into v, a pointer to a struct. It returns every mistake
// found, joined; each is a *fault.Error of kind BadInput whose Field is
// "name:line: key".
func Decode(name string, data []byte, v any) error {
	var mistakes []error
	for len(mistakes) < maxMistakes {
		err := decodeStrict(data, v)
		var wrong *toml.DecodeError
		if !errors.As(err, &wrong) {
			return errors.Join(append(mistakes, unknownKeys(name, err)...)...)
		}
		mistakes = append(mistakes, mistake(name, wrong))
		row, _ := wrong.Position()
		next := blankLine(data, row)
		if bytes.Equal(next, data) {
			break
		}
		data = next
	}
	return errors.Join(mistakes...)
}

func decodeStrict(data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

func mistake(name string, e *toml.DecodeError) error {
	row, _ := e.Position()
	return fault.Invalid(field(name, row, e.Key()), "correct the value on that line", "%s", strings.TrimPrefix(e.Error(), "toml: "))
}

func unknownKeys(name string, err error) []error {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		if err == nil {
			return nil
		}
		return []error{fault.Invalid(name, "correct the file", "%v", err)}
	}
	var out []error
	for i := range strict.Errors {
		row, _ := strict.Errors[i].Position()
		out = append(out, fault.Invalid(field(name, row, strict.Errors[i].Key()), "remove it or correct its spelling", "unknown key"))
	}
	return out
}

func field(name string, row int, key toml.Key) string {
	if len(key) == 0 {
		return fmt.Sprintf("%s:%d", name, row)
	}
	return fmt.Sprintf("%s:%d: %s", name, row, strings.Join(key, "."))
}

// blankLine empties one line, so that decoding can go on to the next mistake.
func blankLine(data []byte, row int) []byte {
	lines := bytes.SplitAfter(data, []byte("\n"))
	if row < 1 || row > len(lines) {
		return data
	}
	out := bytes.Clone(data[:0:0])
	for i, l := range lines {
		if i == row-1 {
			l = []byte("\n")
		}
		out = append(out, l...)
	}
	return out
}
