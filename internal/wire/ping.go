package wire

// TypePing is the type of Ping.
const TypePing Type = baseCore + 5

// Ping is both the request and the response of a check that the peer is
// responsive.
type Ping struct{}

// WireType returns TypePing.
func (*Ping) WireType() Type { return TypePing }
