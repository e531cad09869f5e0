package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// eraTrailer follows the message in a datagram whose positions are of a higher era of the
// store than 0. Older releases ignore bytes after the message. The order of the fields is
// the encoding.
type eraTrailer struct {
	Era uint64
	// Ends holds the ends of the topics of a report. Its Topics are empty then, so that
	// releases without eras confirm nothing by them.
	Ends []eraEnd
}

// eraEnd is a TopicEnd in an era. If Unread is set, the sender has not read the topic in
// it, so that Next says nothing, and AgeNS is the age of its state. The order of the fields
// is the encoding.
type eraEnd struct {
	Next   uint64
	AgeNS  int64
	Unread bool
}

// SetEra sets the era of the store that the report's Topics are of, and which of them the
// sender has not read in it.
func (r *LoadReport) SetEra(era uint64, unread []bool) { r.era, r.unread = era, unread }

// Era returns the era of the store that the sender knows.
func (r *LoadReport) Era() uint64 { return r.era }

// Unread reports whether the sender has not read a topic in its era yet. The topic's end
// says nothing then, and its age is that of the sender's state.
func (r *LoadReport) Unread(topic int) bool { return topic < len(r.unread) && r.unread[topic] }

// eraCarrier is a message whose positions are of an era of the store.
type eraCarrier interface {
	// splitEra returns the message as it is encoded without eras, and its trailer, which
	// is nil in era 0.
	splitEra() (plain any, trailer *eraTrailer)
	// joinEra adds what a trailer says to the message.
	joinEra(*eraTrailer)
}

func (r *LoadReport) splitEra() (any, *eraTrailer) {
	if r.era == 0 {
		return r, nil
	}
	plain, trailer := *r, &eraTrailer{Era: r.era}
	plain.Topics = nil
	for i, end := range r.Topics {
		trailer.Ends = append(trailer.Ends, eraEnd{end.Next, end.AgeNS, r.Unread(i)})
	}
	return &plain, trailer
}

func (r *LoadReport) joinEra(t *eraTrailer) {
	r.era, r.Topics, r.unread = t.Era, nil, nil
	for _, end := range t.Ends {
		r.Topics = append(r.Topics, TopicEnd{Next: end.Next, AgeNS: end.AgeNS})
		r.unread = append(r.unread, end.Unread)
	}
}

func (s *LoadSums) splitEra() (any, *eraTrailer) {
	if s.Report.era == 0 {
		return s, nil
	}
	plain := *s
	report, trailer := s.Report.splitEra()
	if r, ok := report.(*LoadReport); ok {
		plain.Report = *r
	}
	return &plain, trailer
}

func (s *LoadSums) joinEra(t *eraTrailer) { s.Report.joinEra(t) }

func (r *RecordRequest) splitEra() (any, *eraTrailer) {
	if r.Era == 0 {
		return r, nil
	}
	return r, &eraTrailer{Era: r.Era}
}

func (r *RecordRequest) joinEra(t *eraTrailer) { r.Era = t.Era }

// encodeWithEra encodes a datagram. In era 0 it is that of releases without eras.
func encodeWithEra(kind byte, v eraCarrier) ([]byte, error) {
	plain, trailer := v.splitEra()
	b, err := encodeDatagram(kind, plain)
	if err != nil || trailer == nil {
		return b, err
	}
	end, err := encodeCompact(trailer)
	return append(b, end...), err
}

// decodeWithEra decodes a message and its trailer, if there is one.
func decodeWithEra(b []byte, v eraCarrier) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = decodeError(fmt.Errorf("decoder panic: %v", r), v)
		}
	}()
	rest := bytes.NewReader(b)
	d := msgpack.NewDecoder(rest)
	if err := d.Decode(v); err != nil {
		return decodeError(err, v)
	}
	if rest.Len() == 0 {
		return nil
	}
	trailer := &eraTrailer{}
	if err := d.Decode(trailer); err != nil {
		return decodeError(err, trailer)
	}
	v.joinEra(trailer)
	return nil
}

// eraPush is the encoding of a RecordPush of a higher era than 0. It is sent in datagrams
// of a kind of its own, which releases without eras ignore. The order of the fields is the
// encoding.
type eraPush struct {
	Era         uint64
	Latest      bool
	Topic       int
	FirstOffset uint64
	Records     []KeyedValue
}
