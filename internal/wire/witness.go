package wire

// HeadQuery asks a daemon whether it reaches an engine that does not answer the sender.
// The order of the fields is the encoding.
type HeadQuery struct {
	// Sender is the name of the sending daemon, SentNS its boot clock at the time of
	// sending.
	Sender string
	SentNS int64
	// Engine and StartMS identify the incarnation; Service and Addr are those of its
	// entry. Group and Epoch identify the group that it leads.
	Engine  string
	StartMS int64
	Service string
	Addr    string
	Group   string
	Epoch   int64
}

// HeadStatement is the answer to a HeadQuery. The order of the fields is the encoding.
type HeadStatement struct {
	// Sender is the name of the daemon that makes the statement.
	Sender string
	// EchoNS, Engine and StartMS are those of the query.
	EchoNS  int64
	Engine  string
	StartMS int64
	// Finding is one of the constants below.
	Finding int
	// HeardAgeUS is the time since the engine last sent data of a request to the
	// sender, in microseconds; negative if it never did.
	HeardAgeUS int64
	// ReportStartMS and the fields after it are what the engine reported, if Finding is
	// HeadReported.
	ReportStartMS int64
	Group         string
	Epoch         int64
	Rank          int
	State         string
}

// The values of HeadStatement.Finding.
const (
	// HeadSilent means that the engine did not answer.
	HeadSilent = iota
	// HeadAnswered means that it answered, without a report.
	HeadAnswered
	// HeadReported means that it sent a report.
	HeadReported
	// HeadReplaced means that another engine answered at its address.
	HeadReplaced
)

// EncodeHeadQuery encodes a query as a datagram.
func EncodeHeadQuery(q *HeadQuery) ([]byte, error) { return encodeDatagram(headQueryDatagram, q) }

// EncodeHeadStatement encodes a statement as a datagram.
func EncodeHeadStatement(s *HeadStatement) ([]byte, error) {
	return encodeDatagram(headStatementDatagram, s)
}
