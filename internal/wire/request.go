package wire

// RecordRequest asks a peer for the records of a topic from offset Next on, which the
// sender has missed. The order of the fields is the encoding.
type RecordRequest struct {
	// Sender is the name of the sending daemon.
	Sender string
	// Topic is the index of the topic in the order of the topic constants in package
	// directory.
	Topic int
	Next  uint64
	// Era is the era of the store that Next is of. It is encoded after the datagram; see
	// eraTrailer.
	Era uint64 `msgpack:"-"`
}

// EncodeRecordRequest encodes a request as a datagram.
func EncodeRecordRequest(r *RecordRequest) ([]byte, error) { return encodeWithEra(requestDatagram, r) }
