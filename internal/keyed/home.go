package keyed

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// readyWait is how long a claim waits for a home that still reads its stream
// before the claimer is told to come back.
const readyWait = 500 * time.Millisecond

// Home answers for the streams that it is asked for, whether this daemon is
// their rendezvous owner or another one thinks so.
type Home struct {
	opt     Options
	streams *shard.Map[*stream]
	layout  *layout
	appends atomic.Uint64
	active  sync.WaitGroup

	mu  sync.Mutex
	ctx context.Context // of the stream goroutines; nil before run
}

// AppendCount returns the number of appends that the home made for keys.
func (h *Home) AppendCount() uint64 { return h.appends.Load() }

func streamName(shard int) string { return platform.StreamOncePrefix + strconv.Itoa(shard) }

// homeKey names a stream for the choice of its home.
func homeKey(shard int) string { return "once/" + strconv.Itoa(shard) }

func (h *Home) owns(shard int) bool {
	return ids.Owner(homeKey(shard), h.opt.Members.Live()) == h.opt.Members.Self()
}

// run reads the streams that this daemon becomes home of before they are
// asked for, until ctx ends.
func (h *Home) run(ctx context.Context) error {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	defer h.active.Wait()
	for {
		changed := h.opt.Members.Changed()
		for n := range h.opt.Shards {
			if h.owns(n) {
				_, _ = h.stream(n)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// stream returns the running stream of a shard.
func (h *Home) stream(n int) (*stream, error) {
	h.mu.Lock()
	ctx := h.ctx
	h.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return nil, fault.New(fault.ShuttingDown, "ask another daemon", "this daemon serves no keys now")
	}
	var s *stream
	h.streams.Update(streamName(n), func(old *stream, ok bool) (*stream, bool) {
		if s = old; !ok {
			s = newStream(h, n, streamName(n))
			h.active.Go(func() { s.run(ctx) })
		}
		return s, true
	})
	return s, nil
}

// release forgets a stream that has ended.
func (h *Home) release(s *stream) {
	h.streams.Update(s.name, func(old *stream, ok bool) (*stream, bool) {
		return old, ok && old != s
	})
}

// claim decides on an intent. While another attempt holds the key it waits.
// tried says, with an error, that the intent may be in the log.
func (h *Home) claim(ctx context.Context, c *wire.OnceClaim) (d once.Decision, tried bool, err error) {
	if err := h.check(c); err != nil {
		return d, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.opt.ClaimTimeout+time.Duration(c.WaitMs)*time.Millisecond)
	defer cancel()
	end := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for {
		s, err := h.stream(c.Shard)
		if err != nil {
			return d, tried, err
		}
		d, wrote, err := s.decide(ctx, &c.Intent)
		tried = tried || wrote
		if err != nil {
			return d, tried, err
		}
		if d.Verdict == once.HeldByOther {
			d = h.await(ctx, s, &c.Intent, end)
		}
		switch d.Verdict {
		case once.Undecided: // the holder withdrew, or the stream was dropped
			continue
		case once.Finished:
			d, err = h.withResult(ctx, s, d)
			return d, false, err
		default:
			return d, false, nil
		}
	}
}

func (h *Home) check(c *wire.OnceClaim) error {
	if err := h.sameLayout(c.Shard, c.Shards); err != nil {
		return err
	}
	if once.ShardOf(c.Intent.Workspace, c.Intent.Key, c.Shards) != c.Shard {
		return fault.Refuse(fault.BadInput, "run the same release on all daemons", "key belongs to another stream")
	}
	if c.WaitMs < 0 || c.WaitMs > h.opt.MaxWait.Milliseconds() {
		return fault.Refuse(fault.BadInput, "run the same release on all daemons", "wait of %d ms", c.WaitMs)
	}
	return h.opt.Limits.CheckIntent(&c.Intent, time.Now())
}

func (h *Home) sameLayout(shard, shards int) error {
	if shards != h.opt.Shards || shard < 0 || shard >= shards {
		return fault.New(fault.Conflict, "set once.shards to the same number on all daemons",
			"stream %d of %d, but this daemon has %d", shard, shards, h.opt.Shards)
	}
	return nil
}

// await waits while another attempt, whose process lives, holds the key.
func (h *Home) await(ctx context.Context, s *stream, in *once.Intent, end time.Time) once.Decision {
	s.watch(1)
	defer s.watch(-1)
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	for {
		moved, members := s.moved(), h.opt.Members.Changed()
		d := s.look(in)
		d.Lost = d.Verdict == once.HeldByOther && !h.alive(d.Author, d.Boot)
		if d.Verdict != once.HeldByOther || d.Lost {
			return d
		}
		select {
		case <-moved:
		case <-members:
		case <-t.C:
			return d
		case <-ctx.Done():
			return d
		}
	}
}

func (h *Home) alive(id, boot string) bool { return h.opt.Members.Boot(id) == boot }

// withResult reads the recorded result, which is kept in the log alone.
func (h *Home) withResult(ctx context.Context, s *stream, d once.Decision) (once.Decision, error) {
	a, err := s.read(ctx, d.DoneAt, 1)
	if err != nil {
		return d, fault.Wrap(fault.Conflict, err, "try again with the same key once the platform's log answers",
			"an earlier attempt is finished, but its result can't be read now").WithOutcome(d.Outcome)
	}
	if len(a.Records) == 1 && a.Records[0].Offset == d.DoneAt {
		rec, err := wire.DecodeOnceRecord(a.Records[0].Data)
		if err == nil && rec.Done != nil {
			d.Result = &rec.Done.Result
			return d, nil
		}
	}
	return d, fault.New(fault.Conflict, "look at the platform's log service", "record %d of %s changed", d.DoneAt, s.name).WithOutcome(d.Outcome)
}

// record appends results and withdrawals and returns once they were read back.
func (h *Home) record(ctx context.Context, r *wire.OnceRecord) error {
	if err := h.sameLayout(r.Shard, r.Shards); err != nil {
		return err
	}
	s, err := h.stream(r.Shard)
	if err != nil {
		return err
	}
	entries := make([]*entry, 0, len(r.Records))
	for _, rec := range r.Records {
		if rec.Done == nil && rec.Abandon == nil {
			return fault.Refuse(fault.BadInput, "run the same release on all daemons", "only results and withdrawals are recorded")
		}
		e, err := s.enqueue(rec)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := s.wait(ctx, e); err != nil {
			return err
		}
	}
	return nil
}
