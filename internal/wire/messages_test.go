package wire

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/member"
	"github.com/ragwortquay/ragwortquay/internal/once"
)

func sampleOnceRecords() []once.Record {
	at := time.UnixMilli(1_800_000_000_123)
	fingerprint := once.FingerprintOf([]byte("body"))
	return []once.Record{
		{Intent: &once.Intent{
			Key: "k", Workspace: "w", Route: "r", Attempt: "a", Author: "d", BootID: "b", IssuedAt: at, Fingerprint: fingerprint,
		}},
		{Done: &once.Done{Attempt: "a", Result: once.Result{
			Outcome: fault.Ran, Status: 200, ContentType: "text/plain", Body: []byte("x"), Omitted: true, Digest: fingerprint, Replica: "vm-1",
		}}},
		{Abandon: &once.Abandon{Attempt: "a", IssuedAt: at}},
		{Begin: &once.Begin{Shards: 8}},
	}
}

func TestOnceRecordRoundTrip(t *testing.T) {
	for _, r := range sampleOnceRecords() {
		b, err := EncodeOnceRecord(&r)
		must.NoError(t, err)
		got, err := DecodeOnceRecord(b)
		must.NoError(t, err)
		test.Eq(t, r, *got)
	}
	large := once.Record{Done: &once.Done{Result: once.Result{Body: make([]byte, MaxRecordBytes)}}}
	_, err := EncodeOnceRecord(&large)
	test.Eq(t, fault.TooLarge, fault.KindOf(err))
}

func sampleMemberMessage() *member.Message {
	node := member.Node{ID: "d", Addr: "127.0.0.1:1", BootID: "b", Incarnation: 1 << 50, Status: member.Suspect}
	meta := member.Meta{Epoch: 2, Offset: 3, Digest: 1 << 63, LogAge: time.Second, UnixMS: 1 << 40}
	return &member.Message{
		Kind: member.PingRequest, Seq: 1 << 40, Sender: node, Meta: meta, FullSync: true, Target: "t", TargetAddr: "a",
		Updates: []member.Update{{Node: node, ReportedBy: "x"}},
		Metas:   []member.MetaUpdate{{ID: "y", Age: time.Minute, Meta: meta}},
	}
}

// TestMemberMessageRoundTrip also checks that EncodeMember omits metadata of other
// members to stay within the size limit, and fails if that is not enough.
func TestMemberMessageRoundTrip(t *testing.T) {
	m := sampleMemberMessage()
	b, err := EncodeMember(m, MaxDatagramBytes)
	must.NoError(t, err)
	got, err := DecodeMember(b)
	must.NoError(t, err)
	test.Eq(t, m, got)
	_, err = EncodeMember(m, 20)
	test.Eq(t, fault.TooLarge, fault.KindOf(err))
	shortened, err := EncodeMember(m, len(b)-1)
	must.NoError(t, err)
	got, err = DecodeMember(shortened)
	must.NoError(t, err)
	test.SliceEmpty(t, got.Metas)
}

func TestErrorRoundTrip(t *testing.T) {
	in := fault.Invalid("pool", "name an existing pool", "no such pool").WithRetryAfter(time.Second)
	out := FromFault(in).Fault()
	test.Eq(t, in.Error(), out.Error())
	test.Eq(t, in.Kind, out.Kind)
	test.Eq(t, in.Outcome, out.Outcome)
	test.Eq(t, in.RetryAfter, out.RetryAfter)
}

func FuzzDecodeOnceRecord(f *testing.F) {
	for _, r := range sampleOnceRecords() {
		b, err := EncodeOnceRecord(&r)
		must.NoError(f, err)
		f.Add(b)
	}
	s := once.NewState(once.Limits{MaxKeyAge: time.Hour, MaxSkew: time.Minute}, 1)
	f.Fuzz(func(_ *testing.T, b []byte) {
		r, err := DecodeOnceRecord(b)
		if err != nil {
			return
		}
		s.Apply(once.Position{Offset: s.Next(), At: time.UnixMilli(1_800_000_000_123)}, *r)
	})
}

func FuzzDecodeMember(f *testing.F) {
	b, err := EncodeMember(sampleMemberMessage(), MaxDatagramBytes)
	must.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		m, err := DecodeMember(b)
		if err != nil {
			return
		}
		_, _ = EncodeMember(m, MaxDatagramBytes)
	})
}
