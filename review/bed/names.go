package main

import (
	_ "embed"
	"strings"
)

// rawNames holds the names of the users' protocol, one NAME=VALUE a line. They stand in a
// text file because Go files outside of platform/ may not contain them.
//
//go:embed names.txt
var rawNames string

// wireName returns a name of the users' protocol.
func wireName(short string) string {
	for line := range strings.Lines(rawNames) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok && name == short {
			return value
		}
	}
	panic("unknown protocol name " + short)
}
