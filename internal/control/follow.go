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

// readLog reads the log from the view's position to the end and applies the
// records. It may run in several goroutines at once, because the view applies
// each position only once.
func (m *Manager) readLog(ctx context.Context) error {
	cursor := m.opts.View.Next()
	for {
		start := m.opts.Now()
		resp, err := m.opts.Log.Read(ctx, platform.StreamControl, cursor.Offset, platform.MaxBatchRecords)
		if err == nil {
			m.logStart.set(resp.Epoch, resp.Oldest)
		}
		next, err := m.nextCursor(ctx, cursor, resp, err)
		if err != nil {
			return err
		}
		if next != cursor {
			cursor = next
			continue
		}
		if cursor, err = m.applyRecords(cursor, resp.Records); err != nil {
			return err
		}
		if cursor.Offset >= resp.Next || len(resp.Records) == 0 {
			m.markLogRead(start)
			return nil
		}
	}
}

// nextCursor evaluates the response of the log and returns the position to read
// from: cursor, the start of a newer epoch, or the position after a restored
// snapshot. It fails if the log is in an earlier epoch or ends before cursor.
func (m *Manager) nextCursor(ctx context.Context, cursor state.Position, resp platform.ReadResponse, err error) (state.Position, error) {
	var trimmed *platform.TrimmedError
	isTrimmed := errors.As(err, &trimmed)
	if err != nil && !isTrimmed {
		return cursor, err
	}
	if isTrimmed {
		resp = platform.ReadResponse{Epoch: trimmed.Epoch, Oldest: trimmed.Oldest, Next: trimmed.Next}
	}
	switch {
	case resp.Epoch < cursor.Epoch:
		return cursor, logRegressed("log is in epoch %d, but this daemon is at %s", resp.Epoch, cursor)
	case resp.Epoch > cursor.Epoch:
		return m.enterEpoch(ctx, resp.Epoch)
	case resp.Next < cursor.Offset:
		return cursor, logRegressed("log ends at offset %d, but this daemon is at %s", resp.Next, cursor)
	case isTrimmed:
		if err := m.restore(ctx, trimmed); err != nil {
			return cursor, err
		}
		return m.opts.View.Next(), nil
	default:
		return cursor, nil
	}
}

// applyRecords applies the records and returns the position after the last one.
// It fails if they are not consecutive from cursor on.
func (m *Manager) applyRecords(cursor state.Position, records []platform.Record) (state.Position, error) {
	for _, r := range records {
		if r.Offset != cursor.Offset {
			return cursor, fault.New(fault.LogDown, "check the platform's log", "log returned offset %d where %s was requested", r.Offset, cursor)
		}
		m.applyLogRecord(cursor, r)
		cursor.Offset++
	}
	return cursor, nil
}

// logRegressed returns the error for a log that lacks records which this daemon
// has applied.
func logRegressed(format string, args ...any) error {
	return fault.New(fault.LogDown, "restore the log, or recreate it with a higher epoch; older records are not applied", format, args...)
}

func (m *Manager) applyLogRecord(pos state.Position, r platform.Record) {
	m.applyRaw(wire.RawRecord{Pos: pos, Data: r.Data})
}

// applyRaw decodes and applies the record, and logs a record that is refused or
// cannot be decoded.
func (m *Manager) applyRaw(r wire.RawRecord) {
	rec, err := wire.DecodeRecord(r.Data)
	if err != nil {
		rec = nil
	}
	verdict, applied := m.recent.apply(r, rec)
	switch {
	case !applied: // another goroutine has applied the record before
	case err != nil:
		klog.ErrorS(err, "failed to decode control record", "position", r.Pos.String(), "bytes", len(r.Data))
	case !verdict.Accepted:
		klog.InfoS("control record refused", "position", r.Pos.String(), "record", rec.ID, "author", rec.Author, "reason", verdict.Reason)
	}
}
