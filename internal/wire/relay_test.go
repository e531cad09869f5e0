package wire

import (
	"crypto/rand"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRelayPartsFitInPackets relays the largest record of the platform and smaller ones,
// with as many daemons to pass it on to as a part may name.
func TestRelayPartsFitInPackets(t *testing.T) {
	hashes := make([]uint32, MaxForward)
	for i := range hashes {
		hashes[i] = DaemonHash(strings.Repeat("x", i))
	}
	const sender = "front-mvd-centro-12/01JEXAMPLEULID0123456789AB/0"
	roundTrip := func(part *RelayPart) *RelayPart {
		b, err := EncodeRelayPart(part)
		must.NoError(t, err)
		must.LessEq(t, 1400, len(b))
		v, err := DecodeDatagram(b)
		must.NoError(t, err)
		got, ok := v.(*RelayPart)
		must.True(t, ok)
		must.NoError(t, got.Check())
		return got
	}
	list := &RelayPart{Sender: sender, Seq: 1 << 40, Index: ListIndex, Count: maxRelayParts, HasEra: true}
	list.SetForward(hashes)
	must.True(t, list.HasRoomFor(MaxForward))
	must.Eq(t, hashes, roundTrip(list).ForwardTo())
	for _, size := range []int{0, 10, 30 << 10, 256 << 10} {
		p := &RecordPush{Topic: 1, FirstOffset: 9, Records: []KeyedValue{{"config", randomBytes(size)}}, Era: 3}
		parts, err := SplitRelayParts(sender, 1<<40, p)
		must.NoError(t, err)
		var data [][]byte
		for _, part := range parts {
			room := 0
			for part.HasRoomFor(room + 1) {
				room++
			}
			must.GreaterEq(t, 10, room)
			part.SetForward(hashes[:room])
			got := roundTrip(part)
			must.Eq(t, hashes[:room], got.ForwardTo())
			data = append(data, got.Data)
		}
		got, err := JoinRelayParts(data, parts[0].HasEra)
		must.NoError(t, err)
		must.Eq(t, p, got)
	}
	_, err := SplitRelayParts("a", 1, &RecordPush{Records: []KeyedValue{{"config", randomBytes(2 * maxRelayParts * RelayPartBytes)}}})
	must.Error(t, err)
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return b
}

func TestInvalidRelayPartsAreRejected(t *testing.T) {
	valid := RelayPart{Sender: "a", Count: 2, Index: 1}
	must.NoError(t, valid.Check())
	for name, change := range map[string]func(*RelayPart){
		"no sender":      func(p *RelayPart) { p.Sender = "" },
		"index too high": func(p *RelayPart) { p.Index = 2 },
		"negative index": func(p *RelayPart) { p.Index = -2 },
		"empty list":     func(p *RelayPart) { p.Index = ListIndex },
		"no parts":       func(p *RelayPart) { p.Index, p.Count = 0, 0 },
		"too many parts": func(p *RelayPart) { p.Count = maxRelayParts + 1 },
		"too many names": func(p *RelayPart) { p.SetForward(make([]uint32, MaxForward+1)) },
	} {
		p := valid
		change(&p)
		must.Error(t, p.Check(), must.Sprint(name))
	}
}

func TestPartRequestRoundTrip(t *testing.T) {
	missing := make([]int, 2*maxRequestedParts)
	for i := range missing {
		missing[i] = i
	}
	for _, n := range []int{0, 1, maxRequestedParts, len(missing)} {
		b, err := EncodePartRequest(NewPartRequest("d", "a/b/0", 7, missing[:n]))
		must.NoError(t, err)
		must.LessEq(t, 1400, len(b))
		v, err := DecodeDatagram(b)
		must.NoError(t, err)
		r, ok := v.(*PartRequest)
		must.True(t, ok)
		must.SliceLen(t, min(n, maxRequestedParts), r.Indexes())
	}
}
