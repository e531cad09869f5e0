package wire

// DemandReport is the work that clients have requested of the sender, which it sends
// to the daemon that plans. The order of the fields is the encoding.
type DemandReport struct {
	// Sender is the name of the sending daemon.
	Sender string
	// IntervalMS is the interval at which the sender sends these reports.
	IntervalMS int64
	Models     []ModelWork
}

// ModelWork is the work requested of one model. Requests is the number of requests;
// Offered and Refused are seconds of a group, the latter for requests refused
// because all groups were busy. All three decay with the age of the requests.
type ModelWork struct {
	Service, Model             string
	Requests, Offered, Refused float64
}

// EncodeDemandReport encodes a report as a datagram.
func EncodeDemandReport(r *DemandReport) ([]byte, error) { return encodeDatagram(demandDatagram, r) }
