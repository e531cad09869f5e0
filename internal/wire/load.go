package wire

import "github.com/ragwortquay/ragwortquay/internal/fault"

// LoadReport is what one daemon tells the others several times a second. It
// travels as a datagram and may be lost or late.
type LoadReport struct {
	// Sender is the sender's name, Boot the name of its process.
	Sender string
	BootID string
	// IntervalMS is the sender's interval between reports.
	IntervalMS int64
	// SentNS is the sender's boot time, EchoNS that of the receiver's last report.
	SentNS int64
	EchoNS int64
	// Topics tells how far the sender has followed the store's topics, in the
	// order of package directory.
	Topics []TopicEnd
	// IsCollector tells that the sender collects the loads of all daemons. SumParts is
	// above 0 where Loads are of all daemons: of those engines that belong to
	// part SumPart of SumParts.
	IsCollector       bool
	SumPart, SumParts int
	// Capacity is the sender's share of processor times its link's rate.
	Capacity float64
	// Planning tells that the sender holds the planners' lease, Planned that it
	// was told so by another daemon itself lately.
	Planning     bool
	PlannerKnown bool
	// Serving tells that the sender has answered a request.
	Serving  bool
	Loads    []EngineLoad
	Suspects []Suspect
}

// TopicEnd says that a topic ended at Next so long ago.
type TopicEnd struct {
	Next  uint64
	AgeNS int64
}

// EngineLoad is the sender's work under way at an engine.
type EngineLoad struct {
	Engine   string
	InFlight int
	// PendingTokens are the prompt tokens without a first event.
	PendingTokens int
}

// Suspect is an engine that stands still, with its group.
type Suspect struct {
	Engine string
	Group  string
	Epoch  int64
}

// Datagrams of the mesh begin with a byte that tells what follows.
const (
	loadDatagram = 'L'
	partDatagram = 'R'
)

// EncodeLoadReport encodes a report.
func EncodeLoadReport(r *LoadReport) ([]byte, error) { return encodeDatagram(loadDatagram, r) }

func encodeDatagram(kind byte, v any) ([]byte, error) {
	b, err := encodeCompact(v)
	return append([]byte{kind}, b...), err
}

// DecodeDatagram decodes a datagram of the mesh: a *LoadReport or a *PushPart.
func DecodeDatagram(b []byte) (any, error) {
	if len(b) == 0 {
		return nil, fault.Invalid("datagram", "send it again", "empty datagram")
	}
	switch b[0] {
	case loadDatagram:
		r := &LoadReport{}
		return r, Unmarshal(b[1:], r)
	case partDatagram:
		p := &PushPart{}
		return p, Unmarshal(b[1:], p)
	default:
		return nil, fault.Invalid("datagram", "run one version on all daemons", "unknown kind %d", b[0])
	}
}
