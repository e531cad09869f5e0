package wire

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// First values of the message type ranges. The types of a range are declared in
// the file of their messages.
const (
	baseCore   Type = 0
	baseSync   Type = 16
	baseGrant  Type = 32
	baseOnce   Type = 48
	baseMember Type = 64
)

// Types of error responses and handshake messages.
const (
	TypeError Type = baseCore + 1 + iota
	TypeChallenge
	TypeProof
	TypeWelcome
)

// Error is the response to a failed request.
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

// FromFault converts err to a message.
func FromFault(err error) *Error {
	e := fault.As(err)
	return &Error{
		Kind: e.Kind, Outcome: e.Outcome, Field: e.Field,
		Message: e.Unwrap().Error(), Remedy: e.Remedy, RetryAfter: e.RetryAfter,
	}
}

// Fault converts the message back to an error.
func (e *Error) Fault() *fault.Error {
	f := fault.New(e.Kind, e.Remedy, "%s", e.Message)
	f.Outcome, f.Field, f.RetryAfter = e.Outcome, e.Field, e.RetryAfter
	return f
}

// Challenge is the first message of the handshake. It contains the server's
// identity and nonce.
type Challenge struct {
	Server string `msgpack:"s"`
	Nonce  []byte `msgpack:"n"`
}

// WireType returns TypeChallenge.
func (*Challenge) WireType() Type { return TypeChallenge }

// Proof is the client's response to a Challenge: its identity, its nonce, and a
// MAC over both identities and nonces.
type Proof struct {
	Client string `msgpack:"c"`
	Nonce  []byte `msgpack:"n"`
	MAC    []byte `msgpack:"m"`
}

// WireType returns TypeProof.
func (*Proof) WireType() Type { return TypeProof }

// Welcome completes the handshake. It contains the server's MAC over both
// identities and nonces.
type Welcome struct {
	MAC []byte `msgpack:"m"`
}

// WireType returns TypeWelcome.
func (*Welcome) WireType() Type { return TypeWelcome }
