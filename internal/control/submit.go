package control

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// appendPause is the time between two appends of the same record.
const appendPause = 50 * time.Millisecond

const remedyLog = "check the platform's log, then look the record up in the audit"

// Submit appends the record, reads it back and returns the fold's verdict. The
// append's own answer is never taken for a verdict. An error with outcome
// NotRun means that the record is not in the log; Unknown means that it may be.
func (m *Manager) Submit(ctx context.Context, rec *state.Record) (state.Verdict, error) {
	m.complete(rec)
	data, err := wire.EncodeRecord(rec)
	if err != nil {
		return state.Verdict{}, err
	}
	if len(data) > wire.MaxRecordBytes {
		return state.Verdict{}, fault.Refuse(fault.TooLarge, "split the edit", "record of %d bytes exceeds %d", len(data), wire.MaxRecordBytes)
	}
	if err := m.logAnswers(ctx); err != nil {
		return state.Verdict{}, err
	}
	verdict, err := m.append(ctx, rec.ID, data)
	if err != nil {
		return verdict, err
	}
	m.announce(m.opts.View.Position())
	return verdict, nil
}

func (m *Manager) complete(rec *state.Record) {
	if rec.ID == "" {
		rec.ID = ids.New()
	}
	if rec.Author == "" {
		rec.Author = m.opts.Self
	}
	if rec.At.IsZero() {
		rec.At = m.opts.Now().UTC()
	}
}

// logAnswers reads a log that was not read for some time before anything is
// appended: in an outage the record is then surely not in the log, where a
// failed append would have left that open.
func (m *Manager) logAnswers(ctx context.Context) error {
	if m.readsLog() {
		return nil
	}
	if err := m.follow(ctx); err != nil {
		return appendFailed(err, false)
	}
	return nil
}

// append appends until the record is read back or the log is known not to hold
// it. A second append after an unknown answer carries the same id, which the
// fold recognises, so it cannot act twice.
func (m *Manager) append(ctx context.Context, id string, data []byte) (state.Verdict, error) {
	unknown := false
	for {
		_, err := m.opts.Log.Append(ctx, platform.StreamControl, [][]byte{data})
		if err == nil {
			m.readNow()
			return m.readBack(ctx, id)
		}
		if fault.As(err).Outcome == fault.NotRun {
			return state.Verdict{}, appendFailed(err, unknown)
		}
		unknown = true
		if ferr := m.follow(ctx); ferr != nil {
			return state.Verdict{}, appendFailed(err, unknown)
		}
		if verdict, ok := m.opts.View.Verdict(id); ok {
			return verdict, nil
		}
		if !pause.For(ctx, appendPause) {
			return state.Verdict{}, appendFailed(err, unknown)
		}
	}
}

func (m *Manager) readBack(ctx context.Context, id string) (state.Verdict, error) {
	verdict, err := m.opts.View.WaitVerdict(ctx, id)
	if err != nil {
		return verdict, appendFailed(err, true)
	}
	return verdict, nil
}

// appendFailed gives the outcome of the whole submission: one append of
// unknown outcome makes it unknown, whatever came after.
func appendFailed(err error, unknown bool) error {
	if unknown {
		return fault.Wrap(fault.LogDown, err, remedyLog, "record was not read back from the log")
	}
	e := fault.Wrap(fault.LogDown, err, "try again once the platform's log is back", "record was not appended")
	return e.WithOutcome(fault.NotRun)
}
