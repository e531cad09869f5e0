package wire

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestLoadReportRoundTrip(t *testing.T) {
	report := &LoadReport{
		Sender: "front-1", BootID: "b", IntervalMS: 120, SentNS: 1 << 50, EchoNS: 7, Planning: true,
		Topics: []TopicEnd{{Next: 5, AgeNS: -1}}, Loads: []EngineLoad{{"i-1", 3, 4000}}, Suspects: []Suspect{{"i-2", "g", 1 << 40}},
	}
	b, err := EncodeLoadReport(report)
	must.NoError(t, err)
	got, err := DecodeDatagram(b)
	must.NoError(t, err)
	must.Eq(t, any(report), got)
}

func TestDemandReportRoundTrip(t *testing.T) {
	report := &DemandReport{Sender: "front-1", IntervalMS: 1000, Models: []ModelWork{{"s", "m", 12.5, 3, 0.25}}}
	b, err := EncodeDemandReport(report)
	must.NoError(t, err)
	got, err := DecodeDatagram(b)
	must.NoError(t, err)
	must.Eq(t, any(report), got)
}

func TestReportWithMaxLoadsFitsInOneDatagram(t *testing.T) {
	r := &LoadReport{Sender: strings.Repeat("n", 24), BootID: strings.Repeat("b", 26), SentNS: 1 << 60, EchoNS: 1 << 60}
	for range 40 {
		r.Loads = append(r.Loads, EngineLoad{"i-0123456789", 20, 40_000})
	}
	r.Topics = make([]TopicEnd, 3)
	b, err := EncodeLoadReport(r)
	must.NoError(t, err)
	must.LessEq(t, 1400, len(b))
}

func FuzzDecodeDatagram(f *testing.F) {
	b, err := EncodeLoadReport(&LoadReport{Sender: "x"})
	must.NoError(f, err)
	f.Add(b)
	f.Add([]byte{partDatagram, 0x92})
	b, err = EncodeDemandReport(&DemandReport{Sender: "x", Models: []ModelWork{{}}})
	must.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if v, err := DecodeDatagram(b); err == nil {
			must.NotNil(t, v)
		}
	})
}
