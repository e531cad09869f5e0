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

// layoutStream is the stream whose records fix the number of streams.
const layoutStream = platform.StreamOncePrefix + "layout"

// layout checks that this daemon's number of streams is the one that the layout stream
// sets, before the daemon serves keys and at regular intervals afterwards.
type layout struct {
	opt *Options
	// readToken is a semaphore: the goroutine that has sent to it may read the
	// stream and use state and epoch.
	readToken chan struct{}
	state     *once.Layout
	epoch     uint32

	mu        sync.Mutex
	checkedAt time.Time
}

func newLayout(o *Options) *layout {
	return &layout{opt: o, readToken: make(chan struct{}, 1)}
}

// ensureCurrent returns nil if keys may be served. It checks the layout stream unless
// that was done within the layout's RenewInterval.
func (l *layout) ensureCurrent(ctx context.Context) error {
	if l.isFresh() {
		return nil
	}
	select {
	case l.readToken <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.readToken }()
	if l.isFresh() {
		return nil
	}
	begin := time.Now()
	if err := l.renew(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkedAt = begin
	return nil
}

// isFresh reports whether the last check is younger than the RenewInterval.
func (l *layout) isFresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.checkedAt.IsZero() && time.Since(l.checkedAt) < once.NewLayout(l.opt.Limits).RenewInterval()
}

// renew reads the stream, checks the current number of streams, and writes a renewal
// if the last one is older than the RenewInterval. After a write it checks again,
// since another daemon may have set a different number first.
func (l *layout) renew(ctx context.Context) error {
	if err := l.follow(ctx); err != nil {
		return err
	}
	if err := l.checkShards(); err != nil {
		return err
	}
	if age := time.Since(l.state.RenewedAt()); l.state.Shards() != 0 && age >= 0 && age < l.state.RenewInterval() {
		return nil
	}
	if err := l.appendBegin(ctx); err != nil {
		return err
	}
	if err := l.follow(ctx); err != nil {
		return err
	}
	return l.checkShards()
}

func (l *layout) checkShards() error {
	if n := l.state.Shards(); n != 0 && n != l.opt.Shards {
		return fault.New(fault.Conflict, "set once.shards on all daemons to the number that the log uses",
			"the log has keys spread over %d streams, but once.shards is %d", n, l.opt.Shards)
	}
	return nil
}

func (l *layout) appendBegin(ctx context.Context) error {
	data, err := wire.EncodeOnceRecord(&once.Record{Begin: &once.Begin{Shards: l.opt.Shards}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.LogTimeout)
	defer cancel()
	_, err = l.opt.Log.Append(ctx, layoutStream, [][]byte{data})
	return err
}

// follow reads the stream to its end. It starts again if the stream was trimmed or
// the log was recreated.
func (l *layout) follow(ctx context.Context) error {
	if l.state == nil {
		l.state = once.NewLayout(l.opt.Limits)
	}
	for {
		a, err := l.read(ctx)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			l.reset(trimmed.Epoch)
			l.state.StartTrimmedAt(trimmed.Oldest)
			continue
		}
		if err != nil {
			return err
		}
		if l.epoch != 0 && a.Epoch != l.epoch {
			l.reset(a.Epoch)
			continue
		}
		l.epoch = a.Epoch
		l.applyRecords(a.Records)
		if l.state.Next() >= a.Next {
			l.state.CaughtUp()
			return nil
		}
		if len(a.Records) == 0 {
			return errShortRead
		}
	}
}

func (l *layout) reset(epoch uint32) { l.state, l.epoch = once.NewLayout(l.opt.Limits), epoch }

func (l *layout) read(ctx context.Context) (platform.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.LogTimeout)
	defer cancel()
	return l.opt.Log.Read(ctx, layoutStream, l.state.Next(), platform.MaxBatchRecords)
}

func (l *layout) applyRecords(records []platform.Record) {
	for _, r := range records {
		var begin once.Begin
		if rec, err := wire.DecodeOnceRecord(r.Data); err == nil && rec.Begin != nil {
			begin = *rec.Begin
		}
		l.state.Apply(positionOf(r), begin)
	}
}

func positionOf(r platform.Record) once.Position {
	return once.Position{Offset: r.Offset, At: time.UnixMilli(r.AppendUnixMS)}
}
