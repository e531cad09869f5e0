package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// partBytes is the maximum payload of a PushPart, so that the part with its
	// framing fits in one packet of 1400 bytes.
	partBytes = 1250
	// maxParts is the maximum number of parts of a push. For more, it is cheaper
	// that every peer reads the store.
	maxParts = 24
	// maxPushBytes is the maximum decompressed size of a push.
	maxPushBytes = 1 << 20
)

// RecordPush carries records that the sender has read from a topic of the store.
// The order of the fields is the encoding.
type RecordPush struct {
	// Topic is the index of the topic in the order of the topic constants in package
	// directory.
	Topic int
	// FirstOffset is the offset of the first record. The offsets of the following
	// records are consecutive.
	FirstOffset uint64
	Records     []KeyedValue
	// Era is the era of the store that FirstOffset is of. If Latest is set, the records
	// are the newest of each key, and FirstOffset is the end of the topic. Both are
	// encoded in an eraPush only; Latest is not sent in era 0.
	Era    uint64 `msgpack:"-"`
	Latest bool   `msgpack:"-"`
}

// KeyedValue is one record of a keyed topic.
type KeyedValue struct {
	Key   string
	Value []byte
}

// PushPart is a part of an encoded RecordPush that fits in one datagram. The order
// of the fields is the encoding.
type PushPart struct {
	// Sender and Seq identify the push. Seq increases with each push of a sender.
	Sender string
	Seq    int64
	// Index is the index of this part out of Count parts.
	Index, Count int
	Data         []byte
	// HasEra is set if Data is of an eraPush. The kind of the datagram says so.
	HasEra bool `msgpack:"-"`
}

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // NewWriter fails only for an invalid compression level
	}
	return w
}}

// EncodeRecordPush encodes a push as datagrams. It fails with kind TooLarge if the
// push needs more than maxParts datagrams.
func EncodeRecordPush(sender string, seq int64, r *RecordPush) ([][]byte, error) {
	compressed, hasEra, err := compressPush(r)
	if err != nil {
		return nil, err
	}
	kind := byte(partDatagram)
	if hasEra {
		kind = eraPartDatagram
	}
	count := (len(compressed) + partBytes - 1) / partBytes
	if count > maxParts {
		return nil, fault.New(fault.TooLarge, "let the peers read the store", "push of %d compressed bytes needs too many datagrams", len(compressed))
	}
	out := make([][]byte, 0, count)
	for i := range count {
		data := compressed[i*partBytes : min(len(compressed), (i+1)*partBytes)]
		b, err := encodeDatagram(kind, &PushPart{Sender: sender, Seq: seq, Index: i, Count: count, Data: data})
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

// compressPush encodes and compresses a push. hasEra is set if it is an eraPush.
func compressPush(r *RecordPush) (compressed []byte, hasEra bool, err error) {
	content := any(r)
	if hasEra = r.Era > 0; hasEra {
		content = &eraPush{r.Era, r.Latest, r.Topic, r.FirstOffset, r.Records}
	}
	raw, err := encodeCompact(content)
	if err != nil {
		return nil, false, err
	}
	compressed, err = compress(raw)
	return compressed, hasEra, err
}

func compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Assembly reassembles the newest push of one sender from its parts. The zero
// value is ready to use. It is not safe for concurrent use.
type Assembly struct {
	// seq is the sequence number of the newest push seen.
	seq   int64
	parts [][]byte
	// missing is the number of parts that have not arrived.
	missing int
}

// Add adds a part and returns the push if the part completes it, else nil.
// Duplicate parts and parts of an older push are ignored.
func (a *Assembly) Add(p *PushPart) (*RecordPush, error) {
	if p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return nil, fault.Invalid("push", "run one version on all daemons", "invalid push part: index %d, count %d", p.Index, p.Count)
	}
	if p.Seq < a.seq || (p.Seq == a.seq && len(a.parts) != p.Count) {
		return nil, nil
	}
	if p.Seq > a.seq {
		a.seq, a.parts, a.missing = p.Seq, make([][]byte, p.Count), p.Count
	}
	if a.parts[p.Index] != nil {
		return nil, nil
	}
	a.parts[p.Index] = p.Data
	a.missing--
	if a.missing > 0 {
		return nil, nil
	}
	joined := bytes.Join(a.parts, nil)
	clear(a.parts)
	a.parts = nil
	return decompress(joined, p.HasEra)
}

func decompress(compressed []byte, hasEra bool) (*RecordPush, error) {
	zr := flate.NewReader(bytes.NewReader(compressed))
	raw, err := io.ReadAll(io.LimitReader(zr, maxPushBytes+1))
	if err != nil || len(raw) > maxPushBytes {
		return nil, fault.Invalid("push", "run one version on all daemons", "decompress a push of %d bytes: %v", len(compressed), err)
	}
	if hasEra {
		p := &eraPush{}
		err := Unmarshal(raw, p)
		return &RecordPush{Topic: p.Topic, FirstOffset: p.FirstOffset, Records: p.Records, Era: p.Era, Latest: p.Latest}, err
	}
	r := &RecordPush{}
	return r, Unmarshal(raw, r)
}
