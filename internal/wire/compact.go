package wire

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Identity is the part of a load report that stays the same while a daemon's process
// runs. A peer that knows it is sent its hash in a CompactReport.
type Identity struct {
	Sender   string
	BootID   string
	Capacity float64
}

// Identity returns the sender's identity.
func (r *LoadReport) Identity() Identity { return Identity{r.Sender, r.BootID, r.Capacity} }

// Hash returns the hash that stands for the identity in compact reports. It has 64 bits,
// since a collision would attribute the reports of one daemon to another: at 350 daemons
// the probability of one is below 10^-14.
func (i Identity) Hash() uint64 {
	h := fnv.New64a()
	b := append(append([]byte(i.Sender), 0), i.BootID...)
	// Writes to a hash do not fail.
	_, _ = h.Write(binary.BigEndian.AppendUint64(append(b, 0), math.Float64bits(i.Capacity)))
	return h.Sum64()
}

// IdentityNotice says whether the sender knows the identity of the receiver, and can
// decode compact reports. Older releases ignore its kind. The order of the fields is the
// encoding.
type IdentityNotice struct {
	// Sender is the name of the sending daemon.
	Sender string
	// Identity is the hash that the notice is about.
	Identity uint64
	// Known is not set if a compact report had an identity or an engine that the sender
	// does not know, so that the receiver has to send a LoadReport.
	Known bool
}

// EncodeIdentityNotice encodes a notice as a datagram.
func EncodeIdentityNotice(n *IdentityNotice) ([]byte, error) {
	return encodeDatagram(identityDatagram, n)
}

// CompactReport is a LoadReport without suspects, or LoadSums, to a peer that knows the
// sender's identity and the names of the engines in it.
type CompactReport struct {
	// Identity is the hash of the sender's identity.
	Identity uint64
	// Report is the sender's state. Its identity, loads and suspects are not encoded.
	// Times are rounded to microseconds, and ages up to milliseconds, so that a position
	// never looks newer than it is.
	Report LoadReport
	// IsSums is set for LoadSums, whose bounds From and To are.
	IsSums   bool
	From, To uint32
	// Loads holds the packed loads; see LoadSums.AppendLoad.
	Loads []byte
}

// maxCompactTopics is the number of topics whose unread flags fit in one byte.
const maxCompactTopics = 8

// NewCompactReport returns a report in compact form. It reports false for a report that
// only a LoadReport can hold.
func NewCompactReport(r *LoadReport) (*CompactReport, bool) {
	if len(r.Suspects) > 0 || r.SumPart != 0 || r.SumParts != 0 || len(r.Topics) > maxCompactTopics {
		return nil, false
	}
	packed := LoadSums{}
	for _, l := range r.Loads {
		packed.AppendLoad(HashedLoad{EngineHash(l.Engine), l.InFlight, l.PendingTokens})
	}
	return &CompactReport{Identity: r.Identity().Hash(), Report: *r, Loads: packed.Loads}, true
}

// NewCompactSums returns sums in compact form. It reports false for sums whose report only
// a LoadReport can hold.
func NewCompactSums(s *LoadSums) (*CompactReport, bool) {
	c, ok := NewCompactReport(&s.Report)
	if ok {
		c.IsSums, c.From, c.To, c.Loads = true, s.From, s.To, s.Loads
	}
	return c, ok
}

// EncodeCompactReport encodes a report as a datagram.
func EncodeCompactReport(c *CompactReport) ([]byte, error) {
	return encodeDatagram(compactDatagram, c)
}

// Sums returns the sums that a sender of the given identity has sent.
func (c *CompactReport) Sums(i Identity) *LoadSums {
	return &LoadSums{Report: c.reportOf(i), From: c.From, To: c.To, Loads: c.Loads}
}

// LoadReport returns the report that a sender of the given identity has sent. complete is
// false if it lacks the loads of engines that name does not know.
func (c *CompactReport) LoadReport(i Identity, name func(hash uint32) (string, bool)) (r *LoadReport, complete bool, err error) {
	loads, err := (&LoadSums{Loads: c.Loads}).Unpack()
	if err != nil {
		return nil, false, err
	}
	report := c.reportOf(i)
	for _, l := range loads {
		if engine, ok := name(l.Hash); ok {
			report.Loads = append(report.Loads, EngineLoad{engine, l.InFlight, l.PendingTokens})
		}
	}
	return &report, len(report.Loads) == len(loads), nil
}

func (c *CompactReport) reportOf(i Identity) LoadReport {
	r := c.Report
	r.Sender, r.BootID, r.Capacity = i.Sender, i.BootID, i.Capacity
	return r
}

// flags returns the fields that are encoded as bits, the lowest one first.
func (c *CompactReport) flags() []*bool {
	r := &c.Report
	return []*bool{&r.IsCollector, &r.Planning, &r.PlannerKnown, &r.Serving, &c.IsSums}
}

// MarshalBinary encodes the report: the flags, the identity, varints, for sums their
// bounds, and the packed loads.
func (c *CompactReport) MarshalBinary() ([]byte, error) {
	var flags, unread byte
	for i, set := range c.flags() {
		if *set {
			flags |= 1 << i
		}
	}
	r := &c.Report
	for i := range r.Topics {
		// As in a LoadReport, the flags have no meaning in era 0.
		if r.era > 0 && r.Unread(i) {
			unread |= 1 << i
		}
	}
	b := binary.BigEndian.AppendUint64([]byte{flags}, c.Identity)
	for _, v := range []int64{r.IntervalMS, r.SentNS / int64(time.Microsecond), r.EchoNS / int64(time.Microsecond)} {
		b = binary.AppendUvarint(b, uint64(max(0, v)))
	}
	b = append(binary.AppendUvarint(b, r.era), byte(len(r.Topics)), unread)
	for _, end := range r.Topics {
		// An age of 0 stands for a topic that has not been read.
		age := uint64(0)
		if end.AgeNS >= 0 {
			age = 1 + uint64((end.AgeNS+int64(time.Millisecond)-1)/int64(time.Millisecond))
		}
		b = binary.AppendUvarint(binary.AppendUvarint(b, end.Next), age)
	}
	if c.IsSums {
		b = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, c.From), c.To)
	}
	return append(b, c.Loads...), nil
}

// maxCompactNumber bounds times in microseconds and milliseconds, so that they do not
// overflow as nanoseconds. It is 139 years in milliseconds, 50 days in microseconds.
const maxCompactNumber = 1 << 42

// UnmarshalBinary decodes what MarshalBinary has encoded.
func (c *CompactReport) UnmarshalBinary(b []byte) error {
	d := compactReader{rest: b}
	flags := d.take(1)[0]
	for i, set := range c.flags() {
		*set = flags&(1<<i) != 0
	}
	c.Identity = binary.BigEndian.Uint64(d.take(8))
	r := &c.Report
	r.IntervalMS = d.number()
	r.SentNS = d.number() * int64(time.Microsecond)
	r.EchoNS = d.number() * int64(time.Microsecond)
	r.era = d.uvarint()
	head := d.take(2)
	topics, unread := int(head[0]), head[1]
	for i := 0; i < topics && !d.bad; i++ {
		end := TopicEnd{Next: d.uvarint(), AgeNS: -1}
		if age := d.number(); age > 0 {
			end.AgeNS = (age - 1) * int64(time.Millisecond)
		}
		r.Topics = append(r.Topics, end)
		if r.era > 0 {
			r.unread = append(r.unread, unread&(1<<i) != 0)
		}
	}
	if c.IsSums {
		c.From, c.To = binary.BigEndian.Uint32(d.take(4)), binary.BigEndian.Uint32(d.take(4))
	}
	if d.bad || topics > maxCompactTopics {
		return fault.Invalid("compact report", "run one version on all daemons", "%d bytes are malformed", len(b))
	}
	if len(d.rest) > 0 {
		c.Loads = append([]byte(nil), d.rest...)
	}
	return nil
}

// compactReader reads from the encoding of a CompactReport. After an error, bad is set and
// all values are 0.
type compactReader struct {
	rest []byte
	bad  bool
}

// take returns the next n bytes.
func (d *compactReader) take(n int) []byte {
	if d.bad || len(d.rest) < n {
		d.bad = true
		return make([]byte, n)
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *compactReader) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.bad || n <= 0 {
		d.bad = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// number returns a varint up to maxCompactNumber.
func (d *compactReader) number() int64 {
	v := d.uvarint()
	if v > maxCompactNumber {
		d.bad = true
		return 0
	}
	return int64(v)
}
