// Package arch holds the tests of the import graph; it has no code of its own.
// Decisions stay apart from transport and encoding, and only the inner protocol
// encodes messages between daemons.
package arch
