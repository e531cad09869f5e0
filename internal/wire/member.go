package wire

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/member"
)

// TypeMember is the type of a membership message of the failure detector. It
// is sent in datagrams.
const TypeMember Type = baseMember + 1

// The encoded forms of the types of package member. Their datagrams are most of
// the traffic of an idle system, so structs are encoded as arrays, without field
// names, and durations as whole milliseconds. The order of the fields is the
// encoding.
type (
	memberNode struct {
		ID          string
		Addr        string
		BootID      string
		Incarnation uint64
		Status      uint8
	}
	memberMeta struct {
		Epoch    uint32
		Offset   uint64
		Digest   uint64
		LogAgeMs uint64
		UnixMS   int64
	}
	memberUpdate struct {
		Node       memberNode
		ReportedBy string
	}
	memberMetaUpdate struct {
		ID    string
		AgeMs uint64
		Meta  memberMeta
	}
	memberMessage struct {
		Kind       uint8
		Seq        uint64
		Sender     memberNode
		Meta       memberMeta
		FullSync   bool
		Target     string
		TargetAddr string
		Updates    []memberUpdate
		Metas      []memberMetaUpdate
	}
)

// maxMemberAge bounds the ages in a message, so that arithmetic with them
// cannot overflow.
const maxMemberAge = 24 * time.Hour

// EncodeMember encodes m in at most limit bytes. If m is too large, it omits
// forwarded metas, then updates, from the end of each list.
func EncodeMember(m *member.Message, limit int) ([]byte, error) {
	w := newMemberMessage(m)
	for {
		b, err := encodeCompact(w)
		switch {
		case err != nil:
			return nil, err
		case len(b) <= limit:
			return b, nil
		case len(w.Metas) > 0:
			w.Metas = w.Metas[:len(w.Metas)-1]
		case len(w.Updates) > 0:
			w.Updates = w.Updates[:len(w.Updates)-1]
		default:
			return nil, fault.New(fault.TooLarge, "shorten the daemon's id and address", "membership message of %d bytes exceeds the limit of %d", len(b), limit)
		}
	}
}

// encodeCompact encodes v with structs as arrays and integers in their
// shortest form.
func encodeCompact(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode %T", v)
	}
	return buf.Bytes(), nil
}

// DecodeMember decodes a membership message.
func DecodeMember(b []byte) (*member.Message, error) {
	var w memberMessage
	if err := Unmarshal(b, &w); err != nil {
		return nil, err
	}
	return w.toMessage(), nil
}

func newMemberMessage(m *member.Message) *memberMessage {
	w := &memberMessage{
		Kind: uint8(m.Kind), Seq: m.Seq, Sender: newMemberNode(m.Sender), Meta: newMemberMeta(m.Meta),
		FullSync: m.FullSync, Target: m.Target, TargetAddr: m.TargetAddr,
	}
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, memberUpdate{Node: newMemberNode(u.Node), ReportedBy: u.ReportedBy})
	}
	for _, u := range m.Metas {
		w.Metas = append(w.Metas, memberMetaUpdate{ID: u.ID, AgeMs: durationToMs(u.Age), Meta: newMemberMeta(u.Meta)})
	}
	return w
}

func (w *memberMessage) toMessage() *member.Message {
	m := &member.Message{
		Kind: member.Kind(w.Kind), Seq: w.Seq, Sender: w.Sender.toNode(), Meta: w.Meta.toMeta(),
		FullSync: w.FullSync, Target: w.Target, TargetAddr: w.TargetAddr,
	}
	for _, u := range w.Updates {
		m.Updates = append(m.Updates, member.Update{Node: u.Node.toNode(), ReportedBy: u.ReportedBy})
	}
	for _, u := range w.Metas {
		m.Metas = append(m.Metas, member.MetaUpdate{ID: u.ID, Age: msToDuration(u.AgeMs), Meta: u.Meta.toMeta()})
	}
	return m
}

func newMemberNode(n member.Node) memberNode {
	return memberNode{ID: n.ID, Addr: n.Addr, BootID: n.BootID, Incarnation: n.Incarnation, Status: uint8(n.Status)}
}

func (n memberNode) toNode() member.Node {
	return member.Node{ID: n.ID, Addr: n.Addr, BootID: n.BootID, Incarnation: n.Incarnation, Status: member.Status(n.Status)}
}

func newMemberMeta(m member.Meta) memberMeta {
	return memberMeta{Epoch: m.Epoch, Offset: m.Offset, Digest: m.Digest, LogAgeMs: durationToMs(m.LogAge), UnixMS: m.UnixMS}
}

func (m memberMeta) toMeta() member.Meta {
	return member.Meta{Epoch: m.Epoch, Offset: m.Offset, Digest: m.Digest, LogAge: msToDuration(m.LogAgeMs), UnixMS: m.UnixMS}
}

// durationToMs converts a duration, limited to 0 to maxMemberAge, to
// milliseconds.
func durationToMs(d time.Duration) uint64 {
	return uint64(min(max(d, 0), maxMemberAge) / time.Millisecond)
}

// msToDuration converts milliseconds to a duration of at most maxMemberAge.
func msToDuration(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxMemberAge/time.Millisecond))) * time.Millisecond
}
