package wire

// TypePing asks the other end of a connection for a sign of life.
const TypePing Type = baseCore + 5

// Ping is a question and answer without content.
type Ping struct{}

// WireType returns TypePing.
func (*Ping) WireType() Type { return TypePing }
