package wire

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Message type ranges, one per concern. Within a range, types are declared
// beside their messages.
const (
	baseCore   Type = 0
	baseSync   Type = 16
	baseGrant  Type = 32
	baseOnce   Type = 48
	baseMember Type = 64
)

// Core message types.
const (
	TypeError Type = baseCore + 1 + iota
	TypeChallenge
	TypeProof
	TypeWelcome
)

// Error is the answer to a call that failed.
type Error struct {
	Kind       fault.Kind    `msgpack:"k"`
	Outcome    fault.Outcome `msgpack:"o"`
	Field      string        `msgpack:"f,omitempty"`
	Message    string        `msgpack:"m"`
	Remedy     string        `msgpack:"r,omitempty"`
	RetryAfter time.Duration `msgpack:"a,omitempty"`
}

// WireType returns TypeError.
func (*Error) WireType() Type { return TypeError }

// FromFault returns the message for err.
func FromFault(err error) *Error {
	e := fault.As(err)
	return &Error{
		Kind: e.Kind, Outcome: e.Outcome, Field: e.Field,
		Message: e.Unwrap().Error(), Remedy: e.Remedy, RetryAfter: e.RetryAfter,
	}
}

// Fault returns the error that the message carries.
func (e *Error) Fault() *fault.Error {
	f := fault.New(e.Kind, e.Remedy, "%s", e.Message)
	f.Outcome, f.Field, f.RetryAfter = e.Outcome, e.Field, e.RetryAfter
	return f
}

// Challenge opens a connection: the server's nonce.
type Challenge struct {
	Server string `msgpack:"s"`
	Nonce  []byte `msgpack:"n"`
}

// WireType returns TypeChallenge.
func (*Challenge) WireType() Type { return TypeChallenge }

// Proof answers a Challenge: the client's identity, its nonce, and a MAC over both nonces.
type Proof struct {
	Client string `msgpack:"c"`
	Nonce  []byte `msgpack:"n"`
	MAC    []byte `msgpack:"m"`
}

// WireType returns TypeProof.
func (*Proof) WireType() Type { return TypeProof }

// Welcome ends the handshake: the server's MAC over both nonces.
type Welcome struct {
	MAC []byte `msgpack:"m"`
}

// WireType returns TypeWelcome.
func (*Welcome) WireType() Type { return TypeWelcome }
