package keyed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// layoutStream fixes the number of streams.
const layoutStream = platform.StreamOncePrefix + "layout"

// layout makes sure, before this daemon serves keys and regularly after, that
// its number of streams is the one in force.
type layout struct {
	opt *Options
	// turn is held by the one goroutine that reads the stream.
	turn  chan struct{}
	fold  *once.Layout
	epoch uint32

	mu      sync.Mutex
	checked time.Time
}

func newLayout(o *Options) *layout {
	return &layout{opt: o, turn: make(chan struct{}, 1)}
}

// ensure returns nil if keys may be served.
func (l *layout) ensure(ctx context.Context) error {
	if l.fresh() {
		return nil
	}
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.turn }()
	if l.fresh() {
		return nil
	}
	begin := time.Now()
	if err := l.renew(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checked = begin
	return nil
}

func (l *layout) fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.checked.IsZero() && time.Since(l.checked) < once.NewLayout(l.opt.Limits).RenewInterval()
}

func (l *layout) renew(ctx context.Context) error {
	if err := l.follow(ctx); err != nil {
		return err
	}
	if err := l.verify(); err != nil {
		return err
	}
	if age := time.Since(l.fold.At()); l.fold.Shards() != 0 && age >= 0 && age < l.fold.RenewInterval() {
		return nil
	}
	if err := l.write(ctx); err != nil {
		return err
	}
	if err := l.follow(ctx); err != nil {
		return err
	}
	return l.verify()
}

func (l *layout) verify() error {
	if n := l.fold.Shards(); n != 0 && n != l.opt.Shards {
		return fault.New(fault.Conflict, "set once.shards to the number in force on all daemons",
			"keys are spread over %d streams, but once.shards is %d", n, l.opt.Shards)
	}
	return nil
}

func (l *layout) write(ctx context.Context) error {
	data, err := wire.EncodeOnceRecord(&once.Record{Begin: &once.Begin{Shards: l.opt.Shards}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.LogTimeout)
	defer cancel()
	_, err = l.opt.Log.Append(ctx, layoutStream, [][]byte{data})
	return err
}

// follow reads to the end of the stream.
func (l *layout) follow(ctx context.Context) error {
	if l.fold == nil {
		l.fold = once.NewLayout(l.opt.Limits)
	}
	for {
		a, err := l.read(ctx)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			l.restart(trimmed.Epoch)
			l.fold.StartTrimmedAt(trimmed.Oldest)
			continue
		}
		if err != nil {
			return err
		}
		if l.epoch != 0 && a.Epoch != l.epoch {
			l.restart(a.Epoch)
			continue
		}
		l.epoch = a.Epoch
		l.take(a.Records)
		if l.fold.Next() >= a.Next {
			l.fold.CaughtUp()
			return nil
		}
		if len(a.Records) == 0 {
			return errShortRead
		}
	}
}

func (l *layout) restart(epoch uint32) { l.fold, l.epoch = once.NewLayout(l.opt.Limits), epoch }

func (l *layout) read(ctx context.Context) (platform.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.LogTimeout)
	defer cancel()
	return l.opt.Log.Read(ctx, layoutStream, l.fold.Next(), platform.MaxBatchRecords)
}

func (l *layout) take(records []platform.Record) {
	for _, r := range records {
		var begin once.Begin
		if rec, err := wire.DecodeOnceRecord(r.Data); err == nil && rec.Begin != nil {
			begin = *rec.Begin
		}
		l.fold.Apply(placeOf(r), begin)
	}
}

func placeOf(r platform.Record) once.Position {
	return once.Position{Offset: r.Offset, At: time.UnixMilli(r.AppendUnixMS)}
}
