package wire

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/member"
)

// TypeMember is the message of the failure detector; it travels in datagrams.
const TypeMember Type = baseMember + 1

// The datagrams of an idle system are most of its traffic: messages are
// encoded as arrays, and times as milliseconds.
type (
	memberNode struct {
		ID          string
		Addr        string
		Boot        string
		Incarnation uint64
		Status      uint8
	}
	memberMeta struct {
		Epoch    uint32
		Offset   uint64
		Digest   uint64
		LogAgeMs uint64
		StampMs  int64
	}
	memberUpdate struct {
		Node memberNode
		By   string
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
		Join       bool
		Target     string
		TargetAddr string
		Updates    []memberUpdate
		Metas      []memberMetaUpdate
	}
)

// maxMemberAge bounds the ages in a message, so that no arithmetic overflows.
const maxMemberAge = 24 * time.Hour

// EncodeMember encodes m in at most limit bytes: what does not fit of the metas
// and then of the updates that it passes on is left out.
func EncodeMember(m *member.Message, limit int) ([]byte, error) {
	w := fromMember(m)
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
			return nil, fault.New(fault.TooLarge, "shorten the daemon's id and address", "membership message of %d bytes exceeds %d", len(b), limit)
		}
	}
}

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
	return w.member(), nil
}

func fromMember(m *member.Message) *memberMessage {
	w := &memberMessage{
		Kind: uint8(m.Kind), Seq: m.Seq, Sender: fromNode(m.Sender), Meta: fromMeta(m.Meta),
		Join: m.FullSync, Target: m.Target, TargetAddr: m.TargetAddr,
	}
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, memberUpdate{Node: fromNode(u.Node), By: u.ReportedBy})
	}
	for _, u := range m.Metas {
		w.Metas = append(w.Metas, memberMetaUpdate{ID: u.ID, AgeMs: toMs(u.Age), Meta: fromMeta(u.Meta)})
	}
	return w
}

func (w *memberMessage) member() *member.Message {
	m := &member.Message{
		Kind: member.Kind(w.Kind), Seq: w.Seq, Sender: w.Sender.node(), Meta: w.Meta.meta(),
		FullSync: w.Join, Target: w.Target, TargetAddr: w.TargetAddr,
	}
	for _, u := range w.Updates {
		m.Updates = append(m.Updates, member.Update{Node: u.Node.node(), ReportedBy: u.By})
	}
	for _, u := range w.Metas {
		m.Metas = append(m.Metas, member.MetaUpdate{ID: u.ID, Age: fromMs(u.AgeMs), Meta: u.Meta.meta()})
	}
	return m
}

func fromNode(n member.Node) memberNode {
	return memberNode{ID: n.ID, Addr: n.Addr, Boot: n.BootID, Incarnation: n.Incarnation, Status: uint8(n.Status)}
}

func (n memberNode) node() member.Node {
	return member.Node{ID: n.ID, Addr: n.Addr, BootID: n.Boot, Incarnation: n.Incarnation, Status: member.Status(n.Status)}
}

func fromMeta(m member.Meta) memberMeta {
	return memberMeta{Epoch: m.Epoch, Offset: m.Offset, Digest: m.Digest, LogAgeMs: toMs(m.LogAge), StampMs: m.UnixMS}
}

func (m memberMeta) meta() member.Meta {
	return member.Meta{Epoch: m.Epoch, Offset: m.Offset, Digest: m.Digest, LogAge: fromMs(m.LogAgeMs), UnixMS: m.StampMs}
}

func toMs(d time.Duration) uint64 {
	return uint64(min(max(d, 0), maxMemberAge) / time.Millisecond)
}

func fromMs(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxMemberAge/time.Millisecond))) * time.Millisecond
}
