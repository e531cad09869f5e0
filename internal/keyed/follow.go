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
	errShortRead = fault.New(fault.LogDown, "look at the platform's log service", "log promised records and gave none")
	errGap       = fault.New(fault.LogDown, "look at the platform's log service", "log skipped records")
	errWentBack  = fault.New(fault.LogDown, "look at the platform's log service", "log shows an older epoch")
)

// follow folds the stream up to its end as it is now. Only the stream's
// goroutine calls it.
func (s *stream) follow(ctx context.Context) error {
	begun := time.Now()
	if s.fold() == nil {
		if err := s.begin(ctx); err != nil {
			return err
		}
	}
	for {
		a, err := s.read(ctx, s.fold().Next(), platform.MaxBatchRecords)
		if err != nil {
			return s.forgetIfTrimmed(err)
		}
		if err := s.sameEpoch(a.Epoch); err != nil {
			return err
		}
		if err := s.take(a.Records); err != nil {
			return err
		}
		if s.fold().Next() >= a.Next {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.readAt = begun
			return nil
		}
		if len(a.Records) == 0 {
			return errShortRead
		}
	}
}

// begin places an empty state at the first record that can matter: the oldest
// one kept, or one that lies Horizon before the end by the log's own times.
func (s *stream) begin(ctx context.Context) error {
	b, err := s.bounds(ctx)
	if err != nil {
		return err
	}
	if b.Next == 0 {
		// The first record's time is what older keys are measured against if
		// the log was set up anew, so it must not wait for the first key.
		if err := s.appendBegin(ctx); err != nil {
			return err
		}
	}
	start, err := s.search(ctx, b)
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

func (s *stream) bounds(ctx context.Context) (platform.TrimmedResponse, error) {
	a, err := s.read(ctx, 0, 1)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return trimmed.TrimmedResponse, nil
	}
	return platform.TrimmedResponse{Epoch: a.Epoch, Oldest: a.Oldest, Next: a.Next}, err
}

// search returns the first offset whose time is within Horizon of the last
// one's. Times grow along the stream but for small steps back, which Horizon
// allows for.
func (s *stream) search(ctx context.Context, b platform.TrimmedResponse) (uint64, error) {
	low, high := b.Oldest, b.Next
	if low >= high {
		return low, nil
	}
	last, err := s.timeOf(ctx, high-1)
	if err != nil {
		return 0, err
	}
	limit := last.Add(-s.opt().Limits.Horizon())
	for low < high {
		middle := low + (high-low)/2
		at, err := s.timeOf(ctx, middle)
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

func (s *stream) timeOf(ctx context.Context, offset uint64) (time.Time, error) {
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

// sameEpoch drops the state when the log was set up anew.
func (s *stream) sameEpoch(epoch uint32) error {
	switch known := s.fold().Epoch(); {
	case epoch == known:
		return nil
	case epoch < known:
		return errWentBack
	default:
		klog.InfoS("Log was set up anew", "stream", s.name, "epoch", epoch)
		s.drop()
		return fault.New(fault.LogDown, "try again with the same key", "log was set up anew")
	}
}

// forgetIfTrimmed drops a state that is so old that records after it are gone.
func (s *stream) forgetIfTrimmed(err error) error {
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		s.drop()
	}
	return err
}

// drop makes the next follow begin anew.
func (s *stream) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.ready = nil, false
}

// take folds records that follow the state without a gap.
func (s *stream) take(records []platform.Record) error {
	decoded := make([]once.Record, len(records))
	for i, r := range records {
		rec, err := wire.DecodeOnceRecord(r.Data)
		if err != nil {
			// Every reader skips the same record in the same way.
			klog.ErrorS(err, "Skipped a record that does not decode", "stream", s.name, "offset", r.Offset)
			continue
		}
		decoded[i] = *rec
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range records {
		if r.Offset > s.state.Next() {
			return errGap
		}
		s.state.Apply(placeOf(r), decoded[i])
	}
	return nil
}
