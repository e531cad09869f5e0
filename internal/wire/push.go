package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// partBytes keeps a part of a push, with its framing, within one packet of
	// 1400 bytes.
	partBytes = 1250
	// maxParts bounds the parts of a push: beyond that reading the store is
	// cheaper than sending to all.
	maxParts = 24
	// maxPushBytes bounds what a push may unpack to.
	maxPushBytes = 1 << 20
)

// RecordPush passes on records that the sender has read from the store.
type RecordPush struct {
	// Topic is the topic's place in the order of package directory.
	Topic       int
	FirstOffset uint64
	Records     []KeyedValue
}

// KeyedValue is one record of a keyed topic.
type KeyedValue struct {
	Key   string
	Value []byte
}

// PushPart is a part of an encoded RecordPush that fits one datagram.
type PushPart struct {
	// Sender and Number name the push; numbers grow at each sender.
	Sender string
	Seq    int64
	// Index is the part's place among Count parts.
	Index, Count int
	Data         []byte
}

var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // only an unknown level fails
	}
	return w
}}

// EncodeRecordPush encodes a push as datagrams. The error has kind TooLarge
// where it would take more of them than maxParts.
func EncodeRecordPush(sender string, number int64, r *RecordPush) ([][]byte, error) {
	raw, err := encodeCompact(r)
	if err != nil {
		return nil, err
	}
	packed, err := pack(raw)
	if err != nil {
		return nil, err
	}
	count := (len(packed) + partBytes - 1) / partBytes
	if count > maxParts {
		return nil, fault.New(fault.TooLarge, "let the others read the store", "a push of %d bytes", len(packed))
	}
	out := make([][]byte, 0, count)
	for i := range count {
		data := packed[i*partBytes : min(len(packed), (i+1)*partBytes)]
		b, err := encodeDatagram(partDatagram, &PushPart{Sender: sender, Seq: number, Index: i, Count: count, Data: data})
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func pack(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, _ := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Assembly collects the parts of one sender's newest push. The zero value is
// ready; it is not safe for concurrent use.
type Assembly struct {
	number int64
	parts  [][]byte
	missed int
}

// Add takes a part and returns the push once all its parts are there, else nil.
// Parts of an older push than the newest one seen are dropped.
func (a *Assembly) Add(p *PushPart) (*RecordPush, error) {
	if p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return nil, fault.Invalid("push", "run one version on all daemons", "part %d of %d", p.Index, p.Count)
	}
	if p.Seq < a.number || (p.Seq == a.number && len(a.parts) != p.Count) {
		return nil, nil
	}
	if p.Seq > a.number {
		a.number, a.parts, a.missed = p.Seq, make([][]byte, p.Count), p.Count
	}
	if a.parts[p.Index] != nil {
		return nil, nil
	}
	a.parts[p.Index] = p.Data
	a.missed--
	if a.missed > 0 {
		return nil, nil
	}
	whole := bytes.Join(a.parts, nil)
	clear(a.parts)
	a.parts = nil
	return unpack(whole)
}

func unpack(packed []byte) (*RecordPush, error) {
	zr := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(zr, maxPushBytes+1))
	if err != nil || len(raw) > maxPushBytes {
		return nil, fault.Invalid("push", "run one version on all daemons", "a push that does not unpack (%d bytes): %v", len(packed), err)
	}
	r := &RecordPush{}
	return r, Unmarshal(raw, r)
}
