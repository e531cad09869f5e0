package control

import (
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/view"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Bounds of the raw records that are kept for peers.
const (
	tailRecords = 4096
	tailBytes   = 2 << 20
	// answerBytes bounds the records of one answer to a peer.
	answerBytes = 1 << 20
)

// tail keeps the last records that were folded, without a gap, and orders the
// writers of the view: a record enters the view and the tail in one step.
type tail struct {
	mu      sync.Mutex
	view    *view.View
	records []wire.RawRecord
	bytes   int
	// base is the position before the first kept record; started is false
	// while the records begin at the stream's start.
	base    state.Position
	started bool
}

// fold folds the record into the view and keeps it if it was new.
func (t *tail) fold(r wire.RawRecord, rec *state.Record) (state.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view.Started() && !t.view.Position().Before(r.Pos) {
		return state.Verdict{}, false
	}
	verdict := t.view.Apply(r.Pos, rec)
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	for len(t.records) > tailRecords || t.bytes > tailBytes {
		t.dropOldest()
	}
	return verdict, true
}

func (t *tail) dropOldest() {
	t.base, t.started = t.records[0].Pos, true
	t.bytes -= len(t.records[0].Data)
	t.records[0] = wire.RawRecord{}
	t.records = t.records[1:]
}

// load replaces the view by s if s is ahead of it. A state of a later epoch
// that builds on less than the view holds would take records back: it is
// refused, and the daemon stays where it is.
func (t *tail) load(s *state.State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pos := s.Pos
	if opened, _ := t.view.OpenEpoch(); t.view.Started() && s.Opened > opened && s.Base.Before(t.view.Position()) {
		klog.ErrorS(nil, "a state of a new epoch lacks records that this daemon holds", "position", t.view.Position().String(), "base", s.Base.String())
		return false
	}
	if !t.view.Load(s) {
		return false
	}
	t.records, t.bytes = nil, 0
	t.base, t.started = pos, true
	return true
}

// after returns kept records that follow pos, and whether they do so without a
// gap.
func (t *tail) after(pos state.Position, started bool) ([]wire.RawRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started && (!started || pos.Before(t.base)) {
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
	for to < len(t.records) && (to == from || size+len(t.records[to].Data) <= answerBytes) {
		size += len(t.records[to].Data)
		to++
	}
	return slices.Clone(t.records[from:to]), true
}
