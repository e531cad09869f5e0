// Package tomlfile decodes TOML files into typed structs and reports all errors
// of a file at once, each with its line and key. It checks syntax, types and key
// names; the packages that declare the structs check the values.
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

// maxErrors bounds the errors reported for one file.
const maxErrors = 50

// Duration is a time.Duration written as a string such as "250ms" or "30s".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms or 30s", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration in a form that UnmarshalText accepts.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Decode decodes data into v, a pointer to a struct. It returns all errors
// found, joined. Each is a *fault.Error of kind BadInput whose Field is
// "name:line: key". After an error Decode clears the line and decodes again, so
// that one wrong value does not hide the errors after it.
func Decode(name string, data []byte, v any) error {
	var errs []error
	for len(errs) < maxErrors {
		err := decodeStrict(data, v)
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return errors.Join(append(errs, unknownKeyErrors(name, err)...)...)
		}
		errs = append(errs, decodeError(name, decodeErr))
		line, _ := decodeErr.Position()
		next := blankLine(data, line)
		if bytes.Equal(next, data) {
			break
		}
		data = next
	}
	return errors.Join(errs...)
}

func decodeStrict(data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

func decodeError(name string, e *toml.DecodeError) error {
	line, _ := e.Position()
	return fault.Invalid(fieldPath(name, line, e.Key()), "correct the value on that line", "%s", strings.TrimPrefix(e.Error(), "toml: "))
}

// unknownKeyErrors returns one error for each key that the struct does not
// declare. Any other error that is not nil is returned as one for the whole file.
func unknownKeyErrors(name string, err error) []error {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		if err == nil {
			return nil
		}
		return []error{fault.Invalid(name, "correct the file", "%v", err)}
	}
	var out []error
	for i := range strict.Errors {
		line, _ := strict.Errors[i].Position()
		out = append(out, fault.Invalid(fieldPath(name, line, strict.Errors[i].Key()), "remove it or correct its spelling", "unknown key"))
	}
	return out
}

// fieldPath returns the position of an error as "name:line: key".
func fieldPath(name string, line int, key toml.Key) string {
	if len(key) == 0 {
		return fmt.Sprintf("%s:%d", name, line)
	}
	return fmt.Sprintf("%s:%d: %s", name, line, strings.Join(key, "."))
}

// blankLine returns data with the given line, counted from 1, emptied. It
// returns data itself if there is no such line.
func blankLine(data []byte, line int) []byte {
	lines := bytes.SplitAfter(data, []byte("\n"))
	if line < 1 || line > len(lines) {
		return data
	}
	out := bytes.Clone(data[:0:0])
	for i, l := range lines {
		if i == line-1 {
			l = []byte("\n")
		}
		out = append(out, l...)
	}
	return out
}
