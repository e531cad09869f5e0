// Package arch contains tests of the import graph and no other code. They check
// that packages which make decisions do not depend on transport or encoding, and
// that only package wire, the protocol between daemons, encodes messages.
package arch
