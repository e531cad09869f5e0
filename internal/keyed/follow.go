package keyed

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

var (
	errShortRead  = fault.New(fault.LogDown, "check the platform's log service", "log returned no records although more exist")
	errOffsetGap  = fault.New(fault.LogDown, "check the platform's log service", "log returned records with a gap in their offsets")
	errOlderEpoch = fault.New(fault.LogDown, "check the platform's log service", "log returned an epoch older than the known one")
)

// follow reads the stream and applies its records up to the end as of the last read.
// Only the stream's goroutine calls it.
func (s *stream) follow(ctx context.Context) error {
	startedAt := time.Now()
	if s.currentState() == nil {
		if err := s.initState(ctx); err != nil {
			return err
		}
	}
	for {
		a, err := s.read(ctx, s.currentState().Next(), platform.MaxBatchRecords)
		if err != nil {
			return s.dropIfTrimmed(err)
		}
		if err := s.checkEpoch(a.Epoch); err != nil {
			return err
		}
		if err := s.applyRecords(a.Records); err != nil {
			return err
		}
		if s.currentState().Next() >= a.Next {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.readStartedAt = startedAt
			return nil
		}
		if len(a.Records) == 0 {
			return errShortRead
		}
	}
}

// initState creates an empty state that starts at the first record that can matter:
// the oldest retained one, or the first within Horizon of the end by the log's times.
func (s *stream) initState(ctx context.Context) error {
	b, err := s.bounds(ctx)
	if err != nil {
		return err
	}
	if b.Next == 0 {
		// If the log was recreated, keys issued before the time of its first record
		// are refused, so that record must be written before the first key is claimed.
		if err := s.appendBegin(ctx); err != nil {
			return err
		}
	}
	start, err := s.findStart(ctx, b)
	if err != nil {
		return err
	}
	state := once.NewState(s.opt().Limits, b.Epoch)
	state.StartAt(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return nil
}

// bounds returns the epoch and the oldest and next offsets of the stream.
func (s *stream) bounds(ctx context.Context) (platform.TrimmedResponse, error) {
	a, err := s.read(ctx, 0, 1)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return trimmed.TrimmedResponse, nil
	}
	return platform.TrimmedResponse{Epoch: a.Epoch, Oldest: a.Oldest, Next: a.Next}, err
}

// findStart returns the first offset whose time is within Horizon of the time of the
// last record. The binary search relies on increasing times; Horizon includes a
// margin for small steps back of the log's clock.
func (s *stream) findStart(ctx context.Context, b platform.TrimmedResponse) (uint64, error) {
	low, high := b.Oldest, b.Next
	if low >= high {
		return low, nil
	}
	last, err := s.recordTime(ctx, high-1)
	if err != nil {
		return 0, err
	}
	limit := last.Add(-s.opt().Limits.Horizon())
	for low < high {
		middle := low + (high-low)/2
		at, err := s.recordTime(ctx, middle)
		if err != nil {
			return 0, err
		}
		if at.Before(limit) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}

func (s *stream) recordTime(ctx context.Context, offset uint64) (time.Time, error) {
	a, err := s.read(ctx, offset, 1)
	if err != nil {
		return time.Time{}, err
	}
	if len(a.Records) == 0 {
		return time.Time{}, errShortRead
	}
	return time.UnixMilli(a.Records[0].AppendUnixMS), nil
}

func (s *stream) read(ctx context.Context, from uint64, limit int) (platform.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt().LogTimeout)
	defer cancel()
	return s.opt().Log.Read(ctx, s.name, from, limit)
}

// checkEpoch drops the state and returns an error if the log was recreated, that is,
// if its epoch is newer than that of the state.
func (s *stream) checkEpoch(epoch uint32) error {
	switch known := s.currentState().Epoch(); {
	case epoch == known:
		return nil
	case epoch < known:
		return errOlderEpoch
	default:
		klog.InfoS("log stream was recreated; reading it from its start", "stream", s.name, "epoch", epoch)
		s.dropState()
		return fault.New(fault.LogDown, "try again with the same key", "the platform's log was recreated")
	}
}

// dropIfTrimmed drops the state if the records that follow it have been trimmed, and
// returns err.
func (s *stream) dropIfTrimmed(err error) error {
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		s.dropState()
	}
	return err
}

// dropState makes the next call of follow start with a new state.
func (s *stream) dropState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.ready = nil, false
}

// applyRecords applies records to the state. It returns an error if there is a gap
// between their offsets.
func (s *stream) applyRecords(records []platform.Record) error {
	decoded := make([]once.Record, len(records))
	for i, r := range records {
		rec, err := wire.DecodeOnceRecord(r.Data)
		if err != nil {
			// It is applied as an empty record, by this reader as by all others.
			klog.ErrorS(err, "skipped a record that cannot be decoded", "stream", s.name, "offset", r.Offset)
			continue
		}
		decoded[i] = *rec
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range records {
		if r.Offset > s.state.Next() {
			return errOffsetGap
		}
		s.state.Apply(positionOf(r), decoded[i])
	}
	return nil
}
