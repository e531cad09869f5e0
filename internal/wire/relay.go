package wire

import (
	"bytes"
	"encoding/binary"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// maxRelayPayload is the maximum number of bytes of data and hashes in a RelayPart, so
	// that it fits in one packet of 1400 bytes with its framing.
	maxRelayPayload = 1220
	// RelayPartBytes is the maximum number of bytes of data in a RelayPart. It leaves room
	// for a few hashes.
	RelayPartBytes = 1150
	// MaxForward is the maximum number of daemons to which a receiver passes a push on.
	MaxForward = maxRelayPayload / hashBytes
	// ListIndex is the Index of a RelayPart without data, which names the daemons to pass
	// the others on to.
	ListIndex = -1
	// maxRelayParts is the maximum number of parts of a relayed push. It covers the largest
	// record of the platform, 256 KiB, where it does not compress.
	maxRelayParts = 256
	// maxRequestedParts is the maximum number of parts in a PartRequest, so that it fits in
	// one packet.
	maxRequestedParts = 400
	// hashBytes is the size of an encoded DaemonHash.
	hashBytes = 4
)

// DaemonHash returns the hash that stands for a daemon's name in a RelayPart.
func DaemonHash(name string) uint32 { return EngineHash(name) }

// RelayPart is a part of a RecordPush that its receiver passes on to other daemons, so that
// the link of the first sender does not carry it once for each daemon. The order of the
// fields is the encoding.
type RelayPart struct {
	// Sender and Seq identify the push. Seq increases with each push of a sender.
	Sender string
	Seq    int64
	// Topic is that of the push.
	Topic int
	// Index is the index of this part out of Count parts, or ListIndex.
	Index, Count int
	// HasEra is set if the parts together are an eraPush.
	HasEra bool
	Data   []byte
	// Forward holds the hashes of the daemons to pass the push on to. It is empty where a
	// part with ListIndex names them.
	Forward []byte
}

// HasRoomFor reports whether the part can name so many daemons beside its data.
func (p *RelayPart) HasRoomFor(daemons int) bool {
	return len(p.Data)+daemons*hashBytes <= maxRelayPayload
}

// SetForward sets the daemons to pass the push on to.
func (p *RelayPart) SetForward(hashes []uint32) {
	p.Forward = make([]byte, 0, len(hashes)*hashBytes)
	for _, h := range hashes {
		p.Forward = binary.BigEndian.AppendUint32(p.Forward, h)
	}
}

// ForwardTo returns the hashes of the daemons to pass the push on to.
func (p *RelayPart) ForwardTo() []uint32 {
	out := make([]uint32, 0, len(p.Forward)/hashBytes)
	for rest := p.Forward; len(rest) >= hashBytes; rest = rest[hashBytes:] {
		out = append(out, binary.BigEndian.Uint32(rest))
	}
	return out
}

// EncodeRelayPart encodes a part as a datagram.
func EncodeRelayPart(p *RelayPart) ([]byte, error) { return encodeDatagram(relayDatagram, p) }

// Check returns an error of kind Invalid if the part can't belong to a push.
func (p *RelayPart) Check() error {
	if p.Sender == "" || p.Count < 1 || p.Count > maxRelayParts || p.Index < ListIndex || p.Index >= p.Count ||
		p.Index == ListIndex && len(p.Forward) == 0 || len(p.Forward) > MaxForward*hashBytes {
		return fault.Invalid("push", "run one version on all daemons", "invalid relayed part: index %d, count %d, %d bytes of hashes", p.Index, p.Count, len(p.Forward))
	}
	return nil
}

// SplitRelayParts encodes a push as parts to be relayed. It fails with kind TooLarge if the
// push needs more than maxRelayParts datagrams.
func SplitRelayParts(sender string, seq int64, r *RecordPush) ([]*RelayPart, error) {
	compressed, hasEra, err := compressPush(r)
	if err != nil {
		return nil, err
	}
	count := (len(compressed) + RelayPartBytes - 1) / RelayPartBytes
	if count > maxRelayParts {
		return nil, fault.New(fault.TooLarge, "let the peers read the store", "push of %d compressed bytes needs too many datagrams", len(compressed))
	}
	out := make([]*RelayPart, 0, count)
	for i := range count {
		data := compressed[i*RelayPartBytes : min(len(compressed), (i+1)*RelayPartBytes)]
		out = append(out, &RelayPart{Sender: sender, Seq: seq, Topic: r.Topic, Index: i, Count: count, HasEra: hasEra, Data: data})
	}
	return out, nil
}

// JoinRelayParts returns the push that the data of all parts, in their order, encodes.
func JoinRelayParts(data [][]byte, hasEra bool) (*RecordPush, error) {
	return decompress(bytes.Join(data, nil), hasEra)
}

// PartRequest asks the daemon that sent parts of a relayed push for those that are missing.
// The order of the fields is the encoding.
type PartRequest struct {
	// Node is the name of the daemon that asks.
	Node string
	// Sender and Seq identify the push.
	Sender string
	Seq    int64
	// Missing holds the indexes of the missing parts, two bytes each.
	Missing []byte
}

// NewPartRequest returns a request for parts, or for the first ones of many.
func NewPartRequest(node, sender string, seq int64, missing []int) *PartRequest {
	r := &PartRequest{Node: node, Sender: sender, Seq: seq}
	for _, i := range missing[:min(len(missing), maxRequestedParts)] {
		r.Missing = binary.BigEndian.AppendUint16(r.Missing, uint16(i))
	}
	return r
}

// Indexes returns the indexes of the missing parts.
func (r *PartRequest) Indexes() []int {
	var out []int
	for rest := r.Missing; len(rest) >= 2 && len(out) < maxRequestedParts; rest = rest[2:] {
		out = append(out, int(binary.BigEndian.Uint16(rest)))
	}
	return out
}

// EncodePartRequest encodes a request as a datagram.
func EncodePartRequest(r *PartRequest) ([]byte, error) {
	return encodeDatagram(partRequestDatagram, r)
}
