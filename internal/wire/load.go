package wire

import "github.com/ragwortquay/ragwortquay/internal/fault"

// LoadReport is the state that a daemon sends to the other daemons several times
// a second. It is a datagram: it may be lost, delayed or reordered. The order of
// the fields is the encoding.
type LoadReport struct {
	// Sender is the name of the sending daemon, BootID identifies its process.
	Sender string
	BootID string
	// IntervalMS is the interval at which the sender sends reports to the receiver.
	IntervalMS int64
	// SentNS is the sender's boot clock at the time of sending. EchoNS is the
	// SentNS of the last report that the sender received from the receiver, or zero.
	SentNS int64
	EchoNS int64
	// Topics holds the sender's position in each topic of the store, in the order
	// of the topic constants in package directory.
	Topics []TopicEnd
	// IsCollector is set if the sender collects the loads of all daemons. SumPart and
	// SumParts are set by releases that send sums in load reports; newer ones send
	// LoadSums and ignore a report whose SumParts is above 0.
	IsCollector       bool
	SumPart, SumParts int
	// Capacity is the sender's share of the processor times its link rate.
	Capacity float64
	// Planning is set if the sender holds the planners' lease, PlannerKnown if it
	// recently received a report with Planning set.
	Planning     bool
	PlannerKnown bool
	// Serving is set once the sender has answered a request.
	Serving  bool
	Loads    []EngineLoad
	Suspects []Suspect
	// era is the era of the store that Topics are of; unread marks those that the sender
	// has not read in it. They are not exported, since they are encoded after the
	// datagram; see eraTrailer.
	era    uint64
	unread []bool
}

// TopicEnd is an observation of the end of a topic: AgeNS nanoseconds ago its
// next offset was Next. AgeNS is -1 if the topic has not been read yet.
type TopicEnd struct {
	Next  uint64
	AgeNS int64
}

// EngineLoad is the number of requests in flight at an engine.
type EngineLoad struct {
	Engine   string
	InFlight int
	// PendingTokens is the number of prompt tokens of requests that have not
	// received their first event.
	PendingTokens int
}

// Suspect identifies an engine that appears to be stalled, and its group.
type Suspect struct {
	Engine string
	Group  string
	Epoch  int64
}

// LeaveNotices lists the engines that have recently said in an answer to the sender
// that they leave. The order of the fields is the encoding.
type LeaveNotices struct {
	Sender  string
	Engines []LeavingEngine
}

// LeavingEngine identifies an incarnation of an engine that leaves by its start time
// in Unix milliseconds.
type LeavingEngine struct {
	Engine  string
	StartMS int64
}

// The first byte of a mesh datagram is its kind.
const (
	loadDatagram   = 'L' // LoadReport
	partDatagram   = 'R' // PushPart
	demandDatagram = 'D' // DemandReport
	sumsDatagram   = 'S' // LoadSums
	leaveDatagram  = 'V' // LeaveNotices
	crashDatagram  = 'N' // CrashNews
	// crashV1Datagram is a crashNewsV1.
	crashV1Datagram = 'C'
	// requestDatagram is a RecordRequest.
	requestDatagram       = 'Q'
	headQueryDatagram     = 'H' // HeadQuery
	headStatementDatagram = 'W' // HeadStatement
	trialRequestDatagram  = 'T' // TrialRequest
	trialReplyDatagram    = 'U' // TrialReply
	zoneDatagram          = 'Z' // ZoneNotice
	lateDatagram          = 'A' // LateLoads
	reservationsDatagram  = 'B' // Reservations
	tenantsDatagram       = 'F' // TenantDemand
	// eraPartDatagram is a PushPart of an eraPush.
	eraPartDatagram     = 'E'
	compactDatagram     = 'K' // CompactReport
	identityDatagram    = 'I' // IdentityNotice
	relayDatagram       = 'G' // RelayPart
	partRequestDatagram = 'P' // PartRequest
)

// EncodeLoadReport encodes a report as a datagram.
func EncodeLoadReport(r *LoadReport) ([]byte, error) { return encodeWithEra(loadDatagram, r) }

// EncodeLeaveNotices encodes notices as a datagram.
func EncodeLeaveNotices(n *LeaveNotices) ([]byte, error) { return encodeDatagram(leaveDatagram, n) }

func encodeDatagram(kind byte, v any) ([]byte, error) {
	b, err := encodeCompact(v)
	return append([]byte{kind}, b...), err
}

// DecodeDatagram decodes a datagram of the mesh: a *LoadReport, a *PushPart, a
// *DemandReport, a *LoadSums, *LeaveNotices, *CrashNews, a *RecordRequest, a *HeadQuery,
// a *HeadStatement, a *TrialRequest, a *TrialReply, a *ZoneNotice, *LateLoads,
// *Reservations, *TenantDemand, a *CompactReport, an *IdentityNotice, a *RelayPart or a
// *PartRequest.
func DecodeDatagram(b []byte) (any, error) {
	if len(b) == 0 {
		return nil, fault.Invalid("datagram", "send the datagram again", "empty datagram")
	}
	switch b[0] {
	case loadDatagram:
		r := &LoadReport{}
		return r, decodeWithEra(b[1:], r)
	case partDatagram:
		p := &PushPart{}
		return p, Unmarshal(b[1:], p)
	case eraPartDatagram:
		p := &PushPart{HasEra: true}
		return p, Unmarshal(b[1:], p)
	case demandDatagram:
		r := &DemandReport{}
		return r, Unmarshal(b[1:], r)
	case sumsDatagram:
		s := &LoadSums{}
		return s, decodeWithEra(b[1:], s)
	case leaveDatagram:
		n := &LeaveNotices{}
		return n, Unmarshal(b[1:], n)
	case crashDatagram:
		n := &CrashNews{}
		return n, Unmarshal(b[1:], n)
	case crashV1Datagram:
		n := &crashNewsV1{}
		err := Unmarshal(b[1:], n)
		return n.upgrade(), err
	case requestDatagram:
		r := &RecordRequest{}
		return r, decodeWithEra(b[1:], r)
	case headQueryDatagram:
		q := &HeadQuery{}
		return q, Unmarshal(b[1:], q)
	case headStatementDatagram:
		s := &HeadStatement{}
		return s, Unmarshal(b[1:], s)
	case trialRequestDatagram:
		r := &TrialRequest{}
		return r, Unmarshal(b[1:], r)
	case trialReplyDatagram:
		r := &TrialReply{}
		return r, Unmarshal(b[1:], r)
	case zoneDatagram:
		n := &ZoneNotice{}
		return n, Unmarshal(b[1:], n)
	case lateDatagram:
		l := &LateLoads{}
		return l, Unmarshal(b[1:], l)
	case reservationsDatagram:
		r := &Reservations{}
		return r, Unmarshal(b[1:], r)
	case compactDatagram:
		c := &CompactReport{}
		return c, Unmarshal(b[1:], c)
	case identityDatagram:
		n := &IdentityNotice{}
		return n, Unmarshal(b[1:], n)
	case relayDatagram:
		p := &RelayPart{}
		return p, Unmarshal(b[1:], p)
	case partRequestDatagram:
		r := &PartRequest{}
		return r, Unmarshal(b[1:], r)
	case tenantsDatagram:
		d := &TenantDemand{}
		return d, Unmarshal(b[1:], d)
	default:
		return nil, fault.Invalid("datagram", "run one version on all daemons", "datagram of unknown kind %d", b[0])
	}
}
