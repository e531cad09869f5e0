package keyed

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// maxPending bounds the records in an outbox. Results beyond it are lost, and
	// attempts at their keys get the outcome Unknown, as if this daemon had died.
	maxPending = 8192
	// maxPendingBytes bounds the result bodies in an outbox. Results beyond it are
	// recorded without their bodies.
	maxPendingBytes = 1 << 20
	// maxSendRecords and maxSendBytes bound one message to a home.
	maxSendRecords = 256
	maxSendBytes   = 256 << 10
)

// pendingRecord is a result or withdrawal that is not yet in the log.
type pendingRecord struct {
	record   once.Record
	queuedAt time.Time
}

// outbox holds this daemon's pending records for one stream. Its goroutine sends them
// to the stream's home and retries until they are recorded; duplicates of a record
// have no effect.
type outbox struct {
	client *Client
	shard  int
	wake   chan struct{}

	mu        sync.Mutex
	pending   []pendingRecord
	bytes     int    // total size of the pending records' bodies
	completed uint64 // number of records recorded or dropped so far
	changed   chan struct{}
}

func newOutbox(c *Client, shard int) *outbox {
	return &outbox{client: c, shard: shard, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

func (b *outbox) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

func (b *outbox) add(r once.Record) {
	b.mu.Lock()
	if len(b.pending) >= maxPending {
		b.mu.Unlock()
		klog.ErrorS(nil, "outbox is full: dropped a record; attempts at its key will have an unknown outcome", "shard", b.shard)
		return
	}
	if r.Done != nil && b.bytes+len(r.Done.Result.Body) > maxPendingBytes {
		withoutBody := once.Done{Attempt: r.Done.Attempt, Result: r.Done.Result.WithoutBody()}
		r.Done = &withoutBody
	}
	b.bytes += bodySize(r)
	b.pending = append(b.pending, pendingRecord{record: r, queuedAt: time.Now()})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func bodySize(r once.Record) int {
	if r.Done == nil {
		return 0
	}
	return len(r.Done.Result.Body)
}

// run sends records until ctx is done, and then those still pending, for up to
// DrainTimeout.
func (b *outbox) run(ctx context.Context) error {
	for {
		select {
		case <-b.wake:
			b.drain(ctx)
		case <-ctx.Done():
			drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.client.opt.DrainTimeout)
			defer cancel()
			b.drain(drainCtx)
			return nil
		}
	}
}

// drain sends records until none is pending or ctx is done.
func (b *outbox) drain(ctx context.Context) {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		err := b.send(ctx, batch)
		if err == nil {
			b.remove(len(batch))
			continue
		}
		klog.V(1).InfoS("failed to record results of keyed requests; will retry", "shard", b.shard, "err", err)
		if !pause.For(ctx, b.client.opt.ProbeInterval) {
			return
		}
	}
}

// nextBatch returns the oldest pending records, after dropping those whose keys have
// expired.
func (b *outbox) nextBatch() []once.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) > 0 && time.Since(b.pending[0].queuedAt) > b.client.recordTTL {
		klog.ErrorS(errRecordExpired, "dropped a pending record of a keyed request", "shard", b.shard)
		b.removeLocked(1)
	}
	var records []once.Record
	size := 0
	for _, d := range b.pending[:min(len(b.pending), maxSendRecords)] {
		if size += bodySize(d.record); size > maxSendBytes && len(records) > 0 {
			break
		}
		records = append(records, d.record)
	}
	return records
}

func (b *outbox) remove(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(n)
}

// removeLocked removes the n oldest records. The caller holds mu.
func (b *outbox) removeLocked(n int) {
	for _, d := range b.pending[:n] {
		b.bytes -= bodySize(d.record)
	}
	b.pending = b.pending[n:]
	if len(b.pending) == 0 {
		b.pending = nil
	}
	b.completed += uint64(n)
	close(b.changed)
	b.changed = make(chan struct{})
}

// send sends records to the stream's home, or to the next one if that does not
// respond.
func (b *outbox) send(ctx context.Context, records []once.Record) error {
	o := &b.client.opt
	a := &homeRequest{client: b.client, shard: b.shard}
	req := &wire.OnceRecord{Shard: b.shard, Shards: o.Shards, Records: records}
	for {
		err := a.callHome(ctx, o.ClaimTimeout+o.Linger, req, &wire.OnceRecordResponse{}, func(ctx context.Context) error {
			return b.client.home.record(ctx, req)
		})
		if err == nil || !a.shouldRetry(ctx, err) {
			return err
		}
	}
}

// flush waits until all records pending now are recorded.
func (b *outbox) flush(ctx context.Context) error {
	b.mu.Lock()
	goal := b.completed + uint64(len(b.pending))
	b.mu.Unlock()
	for {
		b.mu.Lock()
		completed, changed := b.completed, b.changed
		b.mu.Unlock()
		if completed >= goal {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "wait until the platform's log answers", "some results or withdrawals are not recorded yet")
		}
	}
}
