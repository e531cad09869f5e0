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

// appendRetryInterval is the time between two appends of the same record.
const appendRetryInterval = 50 * time.Millisecond

// unknownOutcomeRemedy is the remedy for a record that may be in the log.

const unknownOutcomeRemedy = "check the platform's log, then look the record up in the audit"

// Submit appends the record, waits until it is read back from the log and
// returns the verdict on it. A successful append alone does not mean that the
// record is accepted. An error with the outcome NotRun means that the record is
// not in the log; Unknown means that it may be.
func (m *Manager) Submit(ctx context.Context, rec *state.Record) (state.Verdict, error) {
	m.fillDefaults(rec)
	data, err := wire.EncodeRecord(rec)
	if err != nil {
		return state.Verdict{}, err
	}
	if len(data) > wire.MaxRecordBytes {
		return state.Verdict{}, fault.Refuse(fault.TooLarge, "split the edit", "control record of %d bytes exceeds the maximum of %d bytes", len(data), wire.MaxRecordBytes)
	}
	if err := m.checkLogReachable(ctx); err != nil {
		return state.Verdict{}, err
	}
	verdict, err := m.appendUntilRead(ctx, rec.ID, data)
	if err != nil {
		return verdict, err
	}
	m.announce(m.opts.View.Position())
	return verdict, nil
}

// fillDefaults sets the id, author and time of a record that does not have them.
func (m *Manager) fillDefaults(rec *state.Record) {
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

// checkLogReachable reads the log if the last read is not recent. During an
// outage Submit then fails before the append, with the certain outcome that the
// record is not in the log, which a failed append would leave unknown.
func (m *Manager) checkLogReachable(ctx context.Context) error {
	if m.logReadIsRecent() {
		return nil
	}
	if err := m.readLog(ctx); err != nil {
		return submitError(err, false)
	}
	return nil
}

// appendUntilRead appends the record until it is read back or it is certain that
// the log does not contain it. It is safe to append again after an unknown
// outcome, because a record with the same id is recognised as a duplicate.
func (m *Manager) appendUntilRead(ctx context.Context, id string, data []byte) (state.Verdict, error) {
	unknown := false
	for {
		_, err := m.opts.Log.Append(ctx, platform.StreamControl, [][]byte{data})
		if err == nil {
			m.requestRead()
			return m.waitVerdict(ctx, id)
		}
		if fault.As(err).Outcome == fault.NotRun {
			return state.Verdict{}, submitError(err, unknown)
		}
		unknown = true
		if readErr := m.readLog(ctx); readErr != nil {
			return state.Verdict{}, submitError(err, unknown)
		}
		if verdict, ok := m.opts.View.Verdict(id); ok {
			return verdict, nil
		}
		if !pause.For(ctx, appendRetryInterval) {
			return state.Verdict{}, submitError(err, unknown)
		}
	}
}

func (m *Manager) waitVerdict(ctx context.Context, id string) (state.Verdict, error) {
	verdict, err := m.opts.View.WaitVerdict(ctx, id)
	if err != nil {
		return verdict, submitError(err, true)
	}
	return verdict, nil
}

// submitError returns the error of a failed submission. One append with an
// unknown outcome makes the outcome of the submission unknown, whatever the
// outcome of the later appends.
func submitError(err error, unknown bool) error {
	if unknown {
		return fault.Wrap(fault.LogDown, err, unknownOutcomeRemedy, "control record was not read back from the log")
	}
	notAppended := fault.Wrap(fault.LogDown, err, "try again once the platform's log is reachable", "control record was not appended to the log")
	return notAppended.WithOutcome(fault.NotRun)
}
