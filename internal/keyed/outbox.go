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
	// maxOwed bounds an outbox; results beyond it are lost, and their keys
	// answer "unknown", as if this daemon had died.
	maxOwed = 8192
	// maxOwedBytes bounds the bodies in an outbox; results beyond it are kept
	// without their bodies.
	maxOwedBytes = 1 << 20
	// sendBatch and sendBytes bound one message to a home.
	sendBatch = 256
	sendBytes = 256 << 10
)

// debt is a record that must get into the log.
type debt struct {
	record once.Record
	since  time.Time
}

// outbox holds the records that this daemon owes one stream. Its goroutine
// sends them to the stream's home, again and again until they are recorded: a
// repeated record changes nothing.
type outbox struct {
	client *Client
	shard  int
	wake   chan struct{}

	mu      sync.Mutex
	debts   []debt
	bytes   int    // of the debts' bodies
	settled uint64 // debts dealt with so far
	changed chan struct{}
}

func newOutbox(c *Client, shard int) *outbox {
	return &outbox{client: c, shard: shard, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

func (b *outbox) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.debts)
}

func (b *outbox) add(r once.Record) {
	b.mu.Lock()
	if len(b.debts) >= maxOwed {
		b.mu.Unlock()
		klog.ErrorS(nil, "Too many results wait for the log; one is lost and its key will answer unknown", "shard", b.shard)
		return
	}
	if r.Done != nil && b.bytes+len(r.Done.Result.Body) > maxOwedBytes {
		short := once.Done{Attempt: r.Done.Attempt, Result: r.Done.Result.WithoutBody()}
		r.Done = &short
	}
	b.bytes += bodySize(r)
	b.debts = append(b.debts, debt{record: r, since: time.Now()})
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

// run sends until ctx ends, then tries for DrainTimeout to send what is left.
func (b *outbox) run(ctx context.Context) error {
	for {
		select {
		case <-b.wake:
			b.drain(ctx)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.client.opt.DrainTimeout)
			defer cancel()
			b.drain(last)
			return nil
		}
	}
}

// drain sends until nothing is owed or ctx ends.
func (b *outbox) drain(ctx context.Context) {
	for {
		batch := b.batch()
		if len(batch) == 0 {
			return
		}
		err := b.send(ctx, batch)
		if err == nil {
			b.remove(len(batch))
			continue
		}
		klog.V(1).InfoS("Results wait for the log", "shard", b.shard, "err", err)
		if !pause.For(ctx, b.client.opt.ProbeInterval) {
			return
		}
	}
}

// batch returns the oldest debts; those that no key needs any more are dropped.
func (b *outbox) batch() []once.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.debts) > 0 && time.Since(b.debts[0].since) > b.client.expiry {
		klog.ErrorS(errDropped, "Dropped a result", "shard", b.shard)
		b.cut(1)
	}
	var records []once.Record
	size := 0
	for _, d := range b.debts[:min(len(b.debts), sendBatch)] {
		if size += bodySize(d.record); size > sendBytes && len(records) > 0 {
			break
		}
		records = append(records, d.record)
	}
	return records
}

func (b *outbox) remove(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut(n)
}

// cut drops the n oldest debts; the caller holds mu.
func (b *outbox) cut(n int) {
	for _, d := range b.debts[:n] {
		b.bytes -= bodySize(d.record)
	}
	b.debts = b.debts[n:]
	if len(b.debts) == 0 {
		b.debts = nil
	}
	b.settled += uint64(n)
	close(b.changed)
	b.changed = make(chan struct{})
}

// send asks the stream's home, or the next one if it does not answer.
func (b *outbox) send(ctx context.Context, records []once.Record) error {
	o := &b.client.opt
	a := &asking{client: b.client, shard: b.shard}
	req := &wire.OnceRecord{Shard: b.shard, Shards: o.Shards, Records: records}
	for {
		err := a.try(ctx, o.ClaimTimeout+o.Linger, req, &wire.OnceRecordResponse{}, func(ctx context.Context) error {
			return b.client.home.record(ctx, req)
		})
		if err == nil || !a.again(ctx, err) {
			return err
		}
	}
}

// flush waits until all that is owed now is recorded.
func (b *outbox) flush(ctx context.Context) error {
	b.mu.Lock()
	goal := b.settled + uint64(len(b.debts))
	b.mu.Unlock()
	for {
		b.mu.Lock()
		settled, changed := b.settled, b.changed
		b.mu.Unlock()
		if settled >= goal {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "wait until the platform's log answers", "results are not recorded yet")
		}
	}
}
