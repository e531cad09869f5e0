package wire

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// randomPush returns a randomPush of n records whose values hardly compress.
func randomPush(n int) *RecordPush {
	src := rand.NewChaCha8([32]byte{1})
	r := &RecordPush{Topic: 1, FirstOffset: 9}
	for i := range n {
		value := make([]byte, 300)
		_, _ = src.Read(value)
		r.Records = append(r.Records, KeyedValue{fmt.Sprint("i-", i), []byte(base64.StdEncoding.EncodeToString(value))})
	}
	return r
}

func encodeParts(t testing.TB, seq int64, r *RecordPush) []*PushPart {
	t.Helper()
	datagrams, err := EncodeRecordPush("a", seq, r)
	must.NoError(t, err)
	var out []*PushPart
	for _, d := range datagrams {
		must.LessEq(t, 1400, len(d))
		v, err := DecodeDatagram(d)
		must.NoError(t, err)
		p, ok := v.(*PushPart)
		must.True(t, ok)
		out = append(out, p)
	}
	return out
}

func TestPushRoundTrip(t *testing.T) {
	for _, r := range []*RecordPush{randomPush(0), randomPush(1), randomPush(20), {Topic: 2, FirstOffset: 9, Records: []KeyedValue{{"i-1", nil}}}} {
		var a Assembly
		ps := encodeParts(t, 1, r)
		for i, p := range ps {
			got, err := a.Add(p)
			must.NoError(t, err)
			if i < len(ps)-1 {
				must.Nil(t, got)
				continue
			}
			must.Eq(t, r, got)
		}
	}
}

func TestAssemblyHandlesDuplicateLateAndReorderedParts(t *testing.T) {
	old, newer := encodeParts(t, 1, randomPush(20)), encodeParts(t, 2, randomPush(21))
	must.Greater(t, 2, len(old))
	var a Assembly
	add := func(p *PushPart) *RecordPush {
		got, err := a.Add(p)
		must.NoError(t, err)
		return got
	}
	must.Nil(t, add(old[0]))
	must.Nil(t, add(old[0]), must.Sprint("duplicate part"))
	must.Nil(t, add(newer[len(newer)-1]))
	must.Nil(t, add(old[1]), must.Sprint("part of an older push"))
	for _, p := range newer[1 : len(newer)-1] {
		must.Nil(t, add(p))
	}
	must.Eq(t, randomPush(21), add(newer[0]))
	must.Nil(t, add(newer[0]), must.Sprint("part of a push that was already complete"))
}

func TestInvalidPartsAreRejected(t *testing.T) {
	for _, p := range []PushPart{
		{Seq: 1, Count: 0},
		{Seq: 1, Count: maxParts + 1},
		{Seq: 1, Count: 2, Index: 2},
		{Seq: 1, Count: 2, Index: -1},
		{Seq: 1, Count: 1, Data: []byte("no stream")},
	} {
		var a Assembly
		_, err := a.Add(&p)
		must.Eq(t, fault.BadInput, fault.KindOf(err), must.Sprintf("%+v", p))
	}
	_, err := EncodeRecordPush("a", 1, randomPush(maxParts*partBytes/300+1))
	must.Eq(t, fault.TooLarge, fault.KindOf(err))
}

func FuzzAssembly(f *testing.F) {
	f.Add(0, 1, []byte{1, 0, 0, 255, 255})
	f.Fuzz(func(_ *testing.T, index, count int, data []byte) {
		var a Assembly
		_, _ = a.Add(&PushPart{Seq: 1, Index: index, Count: count, Data: data})
	})
}
