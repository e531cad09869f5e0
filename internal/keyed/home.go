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

// maxReadyWait is how long a claim waits for a home that is still reading its stream
// before it is refused with Overload.
const maxReadyWait = 500 * time.Millisecond

// Home serves claims and records for streams. It serves every stream it is asked
// for, even if this daemon does not consider itself the stream's rendezvous owner.
type Home struct {
	opt     Options
	streams *shard.Map[*stream]
	layout  *layout
	appends atomic.Uint64
	running sync.WaitGroup

	mu  sync.Mutex
	ctx context.Context // context of the stream goroutines; nil before run
}

// AppendCount returns the number of appends of keyed records by this home.
func (h *Home) AppendCount() uint64 { return h.appends.Load() }

func streamName(shard int) string { return platform.StreamOncePrefix + strconv.Itoa(shard) }

// homeKey returns the rendezvous key by which the home of a stream is chosen.
func homeKey(shard int) string { return "once/" + strconv.Itoa(shard) }

func (h *Home) owns(shard int) bool {
	return ids.Owner(homeKey(shard), h.opt.Members.Live()) == h.opt.Members.Self()
}

// run starts reading each stream as soon as this daemon becomes its home, so that the
// stream is ready when the first claim arrives. It returns when ctx is done and all
// streams have stopped.
func (h *Home) run(ctx context.Context) error {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	defer h.running.Wait()
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

// stream returns the running stream of shard n and starts it if necessary.
func (h *Home) stream(n int) (*stream, error) {
	h.mu.Lock()
	ctx := h.ctx
	h.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return nil, fault.New(fault.ShuttingDown, "ask another daemon", "this daemon is starting or shutting down and does not serve keys")
	}
	var s *stream
	h.streams.Update(streamName(n), func(old *stream, ok bool) (*stream, bool) {
		if s = old; !ok {
			s = newStream(h, n, streamName(n))
			h.running.Go(func() { s.run(ctx) })
		}
		return s, true
	})
	return s, nil
}

// removeStream removes a stream that has ended.
func (h *Home) removeStream(s *stream) {
	h.streams.Update(s.name, func(old *stream, ok bool) (*stream, bool) {
		return old, ok && old != s
	})
}

// claim decides on an intent. While another attempt holds the key, it waits for that
// attempt's result for up to c.WaitMs. If err is not nil, mayBeLogged tells whether
// the intent may be in the log.
func (h *Home) claim(ctx context.Context, c *wire.OnceClaim) (d once.Decision, mayBeLogged bool, err error) {
	if err := h.checkClaim(c); err != nil {
		return d, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.opt.ClaimTimeout+time.Duration(c.WaitMs)*time.Millisecond)
	defer cancel()
	end := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for {
		s, err := h.stream(c.Shard)
		if err != nil {
			return d, mayBeLogged, err
		}
		d, appended, err := s.decide(ctx, &c.Intent)
		mayBeLogged = mayBeLogged || appended
		if err != nil {
			return d, mayBeLogged, err
		}
		if d.Verdict == once.HeldByOther {
			d = h.waitForResult(ctx, s, &c.Intent, end)
		}
		switch d.Verdict {
		case once.Undecided: // the holder withdrew, or the state was dropped
			continue
		case once.Finished:
			d, err = h.readResult(ctx, s, d)
			return d, false, err
		default:
			return d, false, nil
		}
	}
}

func (h *Home) checkClaim(c *wire.OnceClaim) error {
	if err := h.checkLayout(c.Shard, c.Shards); err != nil {
		return err
	}
	if once.ShardOf(c.Intent.Workspace, c.Intent.Key, c.Shards) != c.Shard {
		return fault.Refuse(fault.BadInput, "run the same release on all daemons", "key does not belong to the stream of the request")
	}
	if c.WaitMs < 0 || c.WaitMs > h.opt.MaxWait.Milliseconds() {
		return fault.Refuse(fault.BadInput, "run the same release on all daemons", "wait of %d ms is out of range", c.WaitMs)
	}
	return h.opt.Limits.CheckIntent(&c.Intent, time.Now())
}

func (h *Home) checkLayout(shard, shards int) error {
	if shards != h.opt.Shards || shard < 0 || shard >= shards {
		return fault.New(fault.Conflict, "set once.shards to the same number on all daemons",
			"request is for stream %d of %d, but this daemon uses %d streams", shard, shards, h.opt.Shards)
	}
	return nil
}

// waitForResult waits while another attempt holds the key and its daemon process is
// live, until end or until ctx is done. If the process is not live, it waits until the
// stream has been read, since another home may have recorded the result.
func (h *Home) waitForResult(ctx context.Context, s *stream, in *once.Intent, end time.Time) once.Decision {
	s.addWaiters(1)
	defer s.addWaiters(-1)
	arrivedAt := time.Now()
	ended, unread := time.NewTimer(time.Until(end)), time.NewTimer(h.opt.ClaimTimeout/2)
	defer ended.Stop()
	defer unread.Stop()
	for {
		changed, members := s.changes(), h.opt.Members.Changed()
		read := s.readSince(arrivedAt) // before the decision, which must rest on that read
		d := s.currentDecision(in)
		d.Lost = d.Verdict == once.HeldByOther && !h.isAlive(d.Author, d.BootID)
		timer := ended
		switch {
		case d.Verdict != once.HeldByOther, d.Lost && read:
			return d
		case d.Lost:
			timer = unread
			s.requestRead()
		}
		select {
		case <-changed:
		case <-members:
		case <-timer.C:
			return d
		case <-ctx.Done():
			return d
		}
	}
}

func (h *Home) isAlive(id, boot string) bool { return h.opt.Members.BootID(id) == boot }

// readResult sets d.Result to the recorded result, which only the log stores.
func (h *Home) readResult(ctx context.Context, s *stream, d once.Decision) (once.Decision, error) {
	a, err := s.read(ctx, d.DoneAt, 1)
	if err != nil {
		return d, fault.Wrap(fault.Conflict, err, "try again with the same key once the platform's log answers",
			"an earlier attempt has finished, but its result can't be read from the log").WithOutcome(d.Outcome)
	}
	if len(a.Records) == 1 && a.Records[0].Offset == d.DoneAt {
		rec, err := wire.DecodeOnceRecord(a.Records[0].Data)
		if err == nil && rec.Done != nil {
			d.Result = &rec.Done.Result
			return d, nil
		}
	}
	return d, fault.New(fault.Conflict, "check the platform's log service", "record %d of stream %s is not the expected result", d.DoneAt, s.name).WithOutcome(d.Outcome)
}

// record appends results and withdrawals, and returns when they have been read back.
func (h *Home) record(ctx context.Context, r *wire.OnceRecord) error {
	if err := h.checkLayout(r.Shard, r.Shards); err != nil {
		return err
	}
	s, err := h.stream(r.Shard)
	if err != nil {
		return err
	}
	entries := make([]*entry, 0, len(r.Records))
	for _, rec := range r.Records {
		if rec.Done == nil && rec.Abandon == nil {
			return fault.Refuse(fault.BadInput, "run the same release on all daemons", "record is neither a result nor a withdrawal")
		}
		e, err := s.enqueue(rec)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := s.waitForEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}
