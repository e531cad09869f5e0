package wire

// LateLoads is the number of late requests without a first event that the sender has at
// engines: requests of clients that came back after a refusal, which engines start after
// new ones. An engine that is not in it has none. The order of the fields is the encoding.
type LateLoads struct {
	Sender string
	// IntervalMS is the interval at which the sender sends load reports to the receiver.
	IntervalMS int64
	// Sums is set if a collector has summed the loads over all daemons.
	Sums bool
	// Loads holds the packed loads; see LoadSums.AppendLoad.
	Loads []byte
}

// AppendLoad adds a load to the packed loads.
func (l *LateLoads) AppendLoad(load HashedLoad) {
	s := LoadSums{Loads: l.Loads}
	s.AppendLoad(load)
	l.Loads = s.Loads
}

// Unpack returns the packed loads.
func (l *LateLoads) Unpack() ([]HashedLoad, error) { return (&LoadSums{Loads: l.Loads}).Unpack() }

// EncodeLateLoads encodes late loads as a datagram.
func EncodeLateLoads(l *LateLoads) ([]byte, error) { return encodeDatagram(lateDatagram, l) }
