package wire

// TrialRequest asks the arbiter to let the sender try a request under which engines have
// ended, or states that it has done so. It may be lost, doubled or delayed. The order of
// the fields is the encoding.
type TrialRequest struct {
	// Sender, BootID and Number identify the trial. BootID is that of the sender's process.
	Sender string
	BootID string
	Number int64
	// Suspects are the fingerprints that are tried.
	Suspects []uint64
	// RemainingUS is how long the trial lasts at most, in microseconds.
	RemainingUS int64
	// Over is set if the attempt is over. The arbiter does not answer.
	Over bool
}

// TrialReply is the answer to a TrialRequest whose attempt is not over. The order of the
// fields is the encoding.
type TrialReply struct {
	BootID string
	Number int64
	// Granted is set if no other attempt is trying one of the suspects.
	Granted bool
	// Answered are those of the suspects that have been answered.
	Answered []uint64
}

// EncodeTrialRequest encodes a request as a datagram.
func EncodeTrialRequest(r *TrialRequest) ([]byte, error) {
	return encodeDatagram(trialRequestDatagram, r)
}

// EncodeTrialReply encodes a reply as a datagram.
func EncodeTrialReply(r *TrialReply) ([]byte, error) { return encodeDatagram(trialReplyDatagram, r) }
