package wire

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Daemons that have been replaced already must hear of the ends that the others see.
func TestCrashNewsOfTheReleaseBefore(t *testing.T) {
	b, err := encodeDatagram(crashV1Datagram, &crashNewsV1{Sender: "a", Exposures: []crashExposureV1{{"i-1", 1, 2, 3, 4, []uint64{5}}, {"i-2", 1, 2, 3, 4, nil}}, Answers: []uint64{6}})
	must.NoError(t, err)
	got, err := DecodeDatagram(b)
	must.NoError(t, err)
	must.Eq(t, any(&CrashNews{Sender: "a", Exposures: []CrashExposure{{Engine: "i-1", StartMS: 1, Request: 2, SentAgeUS: 3, EndAgeUS: 4, Parts: []uint64{5}}, {Engine: "i-2", StartMS: 1, Request: 2, SentAgeUS: 3, EndAgeUS: 4}}, Answers: []uint64{6}}), got)
}

// TestSplitNewsLosesNothing splits news of all kinds until each part has one item.
func TestSplitNewsLosesNothing(t *testing.T) {
	for n := range 3 {
		news := CrashNews{Sender: "a", Exposures: make([]CrashExposure, n), Answers: make([]uint64, 1), Quarantines: make([]Quarantine, 2-n), Hints: make([]uint64, 3*n)}
		want, items := news.Items(), 0
		for rest := []CrashNews{news}; len(rest) > 0; {
			part := rest[0]
			rest = rest[1:]
			must.Eq(t, "a", part.Sender)
			if part.Items() <= 1 {
				items += part.Items()
				continue
			}
			first, second := part.Split()
			must.Less(t, part.Items(), first.Items())
			must.Less(t, part.Items(), second.Items())
			rest = append(rest, first, second)
		}
		must.Eq(t, want, items)
	}
}
