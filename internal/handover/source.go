package handover

// Part is what an attempt has brought, as far as it matters for whose bytes the client
// gets.
type Part struct {
	// Advances is set if it takes the answer further than the client has it: by the next
	// event, the end of the stream, or a whole answer.
	Advances bool
	// Reading is set if the last bytes that the client got came from the attempt, and
	// Alone if no other attempt is under way.
	Reading, Alone bool
}

// Use is what becomes of a part.
type Use uint8

// The uses.
const (
	// Drop means that the client does not get it.
	Drop Use = iota
	// Forward means that the client gets it, and that attempts beside go on. A comment
	// shows that an engine lives, not that the answer goes on there.
	Forward
	// Settle means that the client gets it, and that the answer goes on at this attempt:
	// all others end.
	Settle
)

var useNames = [...]string{"drop", "forward", "settle"}

// String returns the name of the use.
func (u Use) String() string { return useNames[u] }

// Use returns what becomes of the part.
func (p Part) Use() Use {
	switch {
	case p.Advances:
		return Settle
	case p.Reading, p.Alone:
		return Forward
	default:
		return Drop
	}
}
