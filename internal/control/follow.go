package control

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// follow reads the log from the view's position to its tail. It may run in
// several goroutines at once: the view takes each position only once.
func (m *Manager) follow(ctx context.Context) error {
	cursor := m.opts.View.Next()
	for {
		start := m.opts.Now()
		answer, err := m.opts.Log.Read(ctx, platform.StreamControl, cursor.Offset, platform.MaxBatchRecords)
		if err == nil {
			m.kept.set(answer.Epoch, answer.Oldest)
		}
		next, err := m.check(ctx, cursor, answer, err)
		if err != nil {
			return err
		}
		if next != cursor {
			cursor = next
			continue
		}
		if cursor, err = m.foldAll(cursor, answer.Records); err != nil {
			return err
		}
		if cursor.Offset >= answer.Next || len(answer.Records) == 0 {
			m.reached(start)
			return nil
		}
	}
}

// check refuses a log that went back and returns where to read on: at cursor,
// at the start of a newer epoch, or after a snapshot.
func (m *Manager) check(ctx context.Context, cursor state.Position, answer platform.ReadResponse, err error) (state.Position, error) {
	var gap *platform.TrimmedError
	trimmed := errors.As(err, &gap)
	if err != nil && !trimmed {
		return cursor, err
	}
	if trimmed {
		answer = platform.ReadResponse{Epoch: gap.Epoch, Oldest: gap.Oldest, Next: gap.Next}
	}
	switch {
	case answer.Epoch < cursor.Epoch:
		return cursor, wentBack("log shows epoch %d, but this daemon is at %s", answer.Epoch, cursor)
	case answer.Epoch > cursor.Epoch:
		return m.enterEpoch(ctx, answer.Epoch)
	case answer.Next < cursor.Offset:
		return cursor, wentBack("log ends at offset %d, but this daemon is at %s", answer.Next, cursor)
	case trimmed:
		if err := m.restore(ctx, gap); err != nil {
			return cursor, err
		}
		return m.opts.View.Next(), nil
	default:
		return cursor, nil
	}
}

// foldAll folds records that must follow one another from cursor on.
func (m *Manager) foldAll(cursor state.Position, records []platform.Record) (state.Position, error) {
	for _, r := range records {
		if r.Offset != cursor.Offset {
			return cursor, fault.New(fault.LogDown, "check the platform's log", "log gave offset %d where %s was asked", r.Offset, cursor)
		}
		m.fold(cursor, r)
		cursor.Offset++
	}
	return cursor, nil
}

func wentBack(format string, args ...any) error {
	return fault.New(fault.LogDown, "restore the log, or set it up anew under a higher epoch; nothing older is taken", format, args...)
}

func (m *Manager) fold(pos state.Position, r platform.Record) {
	m.foldRaw(wire.RawRecord{Pos: pos, Data: r.Data})
}

func (m *Manager) foldRaw(r wire.RawRecord) {
	rec, err := wire.DecodeRecord(r.Data)
	if err != nil {
		rec = nil
	}
	verdict, folded := m.tail.fold(r, rec)
	switch {
	case !folded: // another goroutine or peer was first
	case err != nil:
		klog.ErrorS(err, "control record cannot be decoded", "position", r.Pos.String(), "bytes", len(r.Data))
	case !verdict.Accepted:
		klog.InfoS("control record refused", "position", r.Pos.String(), "record", rec.ID, "author", rec.Author, "reason", verdict.Reason)
	}
}
