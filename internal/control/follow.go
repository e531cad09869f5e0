package control

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// follow reads the log from the view's position to its tail.
func (m *Manager) follow(ctx context.Context) error {
	cursor := m.opts.View.Next()
	for {
		start := m.opts.Now()
		answer, err := m.opts.Log.Read(ctx, platform.StreamControl, cursor.Offset, platform.MaxBatch)
		if err != nil {
			return err
		}
		next, err := m.check(cursor, answer)
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
// or at the start of a newer epoch.
func (m *Manager) check(cursor state.Position, answer platform.ReadAnswer) (state.Position, error) {
	switch {
	case answer.Epoch < cursor.Epoch:
		return cursor, wentBack("log shows epoch %d, but this daemon is at %s", answer.Epoch, cursor)
	case answer.Epoch > cursor.Epoch:
		return state.Position{Epoch: answer.Epoch}, nil
	case answer.Next < cursor.Offset:
		return cursor, wentBack("log ends at offset %d, but this daemon is at %s", answer.Next, cursor)
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
	rec, err := wire.DecodeRecord(r.Data)
	if err != nil {
		klog.ErrorS(err, "control record cannot be decoded", "position", pos.String(), "bytes", len(r.Data))
		rec = nil
	}
	verdict := m.opts.View.Fold(pos, rec)
	if verdict.RecordID != "" && !verdict.Accepted {
		klog.InfoS("control record refused", "position", pos.String(), "record", rec.ID, "author", rec.Author, "reason", verdict.Reason)
	}
}
