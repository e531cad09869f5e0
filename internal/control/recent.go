package control

import (
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/view"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Limits of the raw records that are kept for peers.
const (
	maxRecentRecords = 4096
	maxRecentBytes   = 2 << 20
	// maxResponseBytes bounds the records in one response to a peer.
	maxResponseBytes = 1 << 20
)

// recentRecords keeps the last applied records, without a gap, to send them to
// peers. It serialises the writers of the view, so that a record is applied and
// kept in one step.
type recentRecords struct {
	mu      sync.Mutex
	view    *view.View
	records []wire.RawRecord
	bytes   int
	// basePos is the position after which the kept records begin; hasBase is
	// false while they begin at the start of the stream.
	basePos state.Position
	hasBase bool
}

// apply applies the record to the view and keeps it. It returns false if the view
// has reached the record's position already.
func (t *recentRecords) apply(r wire.RawRecord, rec *state.Record) (state.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view.Started() && !t.view.Position().Before(r.Pos) {
		return state.Verdict{}, false
	}
	verdict := t.view.Apply(r.Pos, rec)
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	for len(t.records) > maxRecentRecords || t.bytes > maxRecentBytes {
		t.dropOldest()
	}
	return verdict, true
}

func (t *recentRecords) dropOldest() {
	t.basePos, t.hasBase = t.records[0].Pos, true
	t.bytes -= len(t.records[0].Data)
	t.records[0] = wire.RawRecord{}
	t.records = t.records[1:]
}

// load replaces the state of the view by s if s is at a later position, and
// reports whether it did so. It refuses a state of a later epoch whose base is
// before the view's position, because that would undo applied records.
func (t *recentRecords) load(s *state.State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pos := s.Pos
	if opened, _ := t.view.OpenEpoch(); t.view.Started() && s.Opened > opened && s.Base.Before(t.view.Position()) {
		klog.ErrorS(nil, "refused to load a state of a new epoch that lacks records of this daemon", "position", t.view.Position().String(), "base", s.Base.String())
		return false
	}
	if !t.view.Load(s) {
		return false
	}
	t.records, t.bytes = nil, 0
	t.basePos, t.hasBase = pos, true
	return true
}

// after returns kept records that follow pos, of at most maxResponseBytes or one
// record, and whether they follow pos without a gap. If started is false, records
// from the start of the stream are requested.
func (t *recentRecords) after(pos state.Position, started bool) ([]wire.RawRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasBase && (!started || pos.Before(t.basePos)) {
		return nil, false
	}
	from := 0
	if started {
		from, _ = slices.BinarySearchFunc(t.records, pos, func(r wire.RawRecord, p state.Position) int {
			if p.Before(r.Pos) {
				return 1
			}
			return -1
		})
	}
	size, to := 0, from
	for to < len(t.records) && (to == from || size+len(t.records[to].Data) <= maxResponseBytes) {
		size += len(t.records[to].Data)
		to++
	}
	return slices.Clone(t.records[from:to]), true
}
