package wire

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

func samplePool(vms ...string) *table.Pool {
	return &table.Pool{Name: "p", Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: 1, VMs: vms, Limit: 8, ColdLimit: 1}
}

func sampleRecords() []*state.Record {
	at := time.Unix(1000, 5).UTC()
	route := &table.Route{Name: "r", Workspaces: []string{"*"}, Kinds: []string{"*"}, Pools: []string{"p"}, Deadline: time.Second, RetryBudget: 0.1}
	member := state.Member{VM: "a", BootID: "b", FailureDomain: "d", FabricDomain: "f"}
	return []*state.Record{
		{ID: "1", Author: "op", At: at, Edit: &state.Edit{Note: "n", Changes: []state.Change{{SetPool: samplePool("a")}, {SetRoute: route}}}},
		{ID: "2", Author: "d1", At: at, Form: &state.Form{Pool: "p", Model: "m", Version: "1", Members: []state.Member{member}}},
		{ID: "3", Join: &state.Join{Daemon: "d1", Addr: "x", BootID: "1"}},
		{ID: "4", Retire: &state.Retire{Group: state.Position{Epoch: 1, Offset: 1}.Fence()}},
		{ID: "5", Release: &state.Release{VM: "a", Fence: state.Position{Epoch: 1, Offset: 1}.Fence()}},
		{ID: "6", Leave: &state.Leave{Daemon: "d1", BootID: "1"}},
	}
}

func sampleState(t testing.TB, n int) *state.State {
	s := state.New()
	for i, r := range sampleRecords()[:n] {
		must.True(t, s.Apply(state.Position{Epoch: 1, Offset: uint64(i)}, r).Accepted)
	}
	return s
}

func TestRecordRoundTrip(t *testing.T) {
	for _, r := range sampleRecords() {
		data, err := EncodeRecord(r)
		must.NoError(t, err)
		got, err := DecodeRecord(data)
		must.NoError(t, err)
		must.True(t, r.At.Equal(got.At))
		got.At = r.At
		must.Eq(t, r, got)
	}
}

// TestSplitAndJoinSnapshot also checks that a missing or corrupt chunk is an error.
func TestSplitAndJoinSnapshot(t *testing.T) {
	s := sampleState(t, 3)
	vms := make([]string, 9000)
	for i := range vms {
		vms[i] = "vm-with-a-rather-long-name-" + time.Unix(int64(i), 0).UTC().Format(time.RFC3339)
	}
	s.Pools["p"] = state.PoolRow{Pool: *samplePool(vms...), Stamp: s.Pools["p"].Stamp}
	records, err := SplitSnapshot("id", s)
	must.NoError(t, err)
	must.Greater(t, 1, len(records))
	var chunks []*SnapshotChunk
	for _, r := range records {
		must.LessEq(t, MaxRecordBytes, len(r))
		c, err := DecodeSnapshotChunk(r)
		must.NoError(t, err)
		chunks = append(chunks, c)
	}
	joined, err := JoinSnapshot(chunks)
	must.NoError(t, err)
	must.Eq(t, s.Digest(), joined.Digest())

	_, err = JoinSnapshot(chunks[1:])
	must.Error(t, err)
	chunks[0].Data[0] ^= 1
	_, err = JoinSnapshot(chunks)
	must.ErrorContains(t, err, "checksum")
}

func FuzzDecodeRecord(f *testing.F) {
	for _, r := range sampleRecords() {
		data, err := EncodeRecord(r)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := EncodeRecord(rec)
		must.NoError(t, err)
		_, err = DecodeRecord(again)
		must.NoError(t, err)
		// Every record that decodes must be applied without a panic and with the
		// same result by two daemons.
		a, b := sampleState(t, 3), sampleState(t, 3)
		pos := state.Position{Epoch: 1, Offset: 3}
		must.Eq(t, a.Apply(pos, rec).Accepted, b.Apply(pos, rec).Accepted)
		must.Eq(t, a.Digest(), b.Digest())
	})
}

func FuzzDecodeState(f *testing.F) {
	for n := range sampleRecords() {
		data, err := EncodeState(sampleState(f, n))
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeState(data)
		if err != nil {
			return
		}
		s.Digest()
		for _, r := range sampleRecords() {
			s.Apply(s.Next(), r)
		}
	})
}

func FuzzDecodeSnapshotChunk(f *testing.F) {
	records, err := SplitSnapshot("id", sampleState(f, 2))
	must.NoError(f, err)
	f.Add(records[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeSnapshotChunk(data)
		if err != nil {
			return
		}
		_, _ = JoinSnapshot([]*SnapshotChunk{c})
	})
}
