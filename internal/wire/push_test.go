package wire

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// push returns a push of n records whose values hardly compress.
func push(n int) *RecordPush {
	src := rand.NewChaCha8([32]byte{1})
	r := &RecordPush{Topic: 1, FirstOffset: 9}
	for i := range n {
		value := make([]byte, 300)
		_, _ = src.Read(value)
		r.Records = append(r.Records, KeyedValue{fmt.Sprint("i-", i), []byte(base64.StdEncoding.EncodeToString(value))})
	}
	return r
}

func parts(t testing.TB, number int64, r *RecordPush) []*PushPart {
	t.Helper()
	datagrams, err := EncodeRecordPush("a", number, r)
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

func TestAPushComesBackAsItWas(t *testing.T) {
	for _, r := range []*RecordPush{push(0), push(1), push(20), {Topic: 2, FirstOffset: 9, Records: []KeyedValue{{"i-1", nil}}}} {
		var a Assembly
		ps := parts(t, 1, r)
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

func TestPartsMayComeTwiceLateAndInAnyOrder(t *testing.T) {
	old, young := parts(t, 1, push(20)), parts(t, 2, push(21))
	must.Greater(t, 2, len(old))
	var a Assembly
	add := func(p *PushPart) *RecordPush {
		got, err := a.Add(p)
		must.NoError(t, err)
		return got
	}
	must.Nil(t, add(old[0]))
	must.Nil(t, add(old[0]), must.Sprint("a part that came twice"))
	must.Nil(t, add(young[len(young)-1]))
	must.Nil(t, add(old[1]), must.Sprint("a part of an older push"))
	for _, p := range young[1 : len(young)-1] {
		must.Nil(t, add(p))
	}
	must.Eq(t, push(21), add(young[0]))
	must.Nil(t, add(young[0]), must.Sprint("a part of a push that was complete"))
}

func TestBadPartsAreRefused(t *testing.T) {
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
	_, err := EncodeRecordPush("a", 1, push(maxParts*partBytes/300+1))
	must.Eq(t, fault.TooLarge, fault.KindOf(err))
}

func FuzzAssembly(f *testing.F) {
	f.Add(0, 1, []byte{1, 0, 0, 255, 255})
	f.Fuzz(func(_ *testing.T, index, count int, data []byte) {
		var a Assembly
		_, _ = a.Add(&PushPart{Seq: 1, Index: index, Count: count, Data: data})
	})
}
