package planner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// eraShift is the number of bits of a generation within an era. Fences are integers
	// below 2^53, the highest that the platform's numbers hold: with epochBits this leaves
	// 8,191 eras with a million changes of the candidates each. Beyond a million, a
	// restore may lead to a term that is used already; fenceBase covers that.
	eraShift = 20
	// maxTerm bounds the terms that fences are built from, so that they stay below 2^53.
	maxTerm = 1<<(53-epochBits) - 1
	// headRetryDelay is the delay before a head that could not be stored after a restore
	// is stored again, and headStoreTimeout the time after which it is given up.
	headRetryDelay   = 200 * time.Millisecond
	headStoreTimeout = 5 * time.Second
	// headCheckInterval is the interval of the checks whether the heads have been read
	// after a restore.
	headCheckInterval = 20 * time.Millisecond
)

// leaseTerm returns the number that orders the generations of the lease over all eras of
// the store. It addresses restores from an older copy, after which the store counts from
// a lower generation. In era 0 it is the generation.
func leaseTerm(era uint64, generation int64) int64 { return int64(era)<<eraShift + generation }

// EnterEra ends the lease when the store has begun a new era: the restored store may give
// it to another daemon at once. Until the lease of a planner that has not heard of the era
// has certainly ended, this one sends no orders if it gains the lease.
func (p *Planner) EnterEra(era uint64) {
	for {
		old := p.era.Load()
		if era <= old {
			return
		}
		if p.era.CompareAndSwap(old, era) {
			break
		}
	}
	p.actsAfter.Store(int64(boottime.Now() + p.ttl - leaseMargin))
	if p.HoldsLease() {
		p.leaseEnd.Store(0)
		klog.InfoS("planner lost", "era", era)
	}
}

// joinedGeneration returns the generation of the last renewal in the current era, or 0.
// Only renewLoop calls it.
func (p *Planner) joinedGeneration() int64 {
	if p.joined.Era != p.era.Load() {
		return 0
	}
	return p.joined.Generation
}

// applyAnswer applies the answer to a renewal that began at boot time begun. An answer of
// an era that has ended gives no lease. Only renewLoop calls it.
func (p *Planner) applyAnswer(ctx context.Context, r Renewal, begun time.Duration) {
	p.noteEra(r.Era)
	if r.Era < p.era.Load() {
		klog.InfoS("lease not renewed: the answer is of an era that has ended", "era", r.Era)
		return
	}
	term := leaseTerm(r.Era, r.Generation)
	if r.Held && r.Era > 0 && !p.HoldsLease() {
		p.raiseFences(term, r.Era > p.joined.Era)
	}
	p.joined = r
	p.applyRenewal(r.Held, term, begun)
	if p.era.Load() != r.Era {
		p.leaseEnd.Store(0) // an era began while the answer was applied
		return
	}
	if r.Held && r.Era > 0 && p.headsStoredIn.Swap(r.Era) < r.Era {
		go p.storeHeads(ctx, r.Era)
	}
}

// noteEra enters the era of an answer. The first one that is heard of is no restore.
func (p *Planner) noteEra(era uint64) {
	if p.generation.Load() == 0 && p.era.CompareAndSwap(0, era) {
		return
	}
	p.EnterEra(era)
}

// raiseFences makes fences higher than those of all groups that are known, and in a new
// era than the terms seen in earlier ones, in case that the generations of an era exceeded
// eraShift bits.
func (p *Planner) raiseFences(term int64, newEra bool) {
	highest := int64(0)
	p.engines.Range(func(_ string, es *engineStatus) bool {
		es.mu.Lock()
		defer es.mu.Unlock()
		highest = max(highest, es.engine.Membership.Group.Epoch, es.reported.Membership.Group.Epoch)
		return true
	})
	for _, head := range p.opts.Directory.Heads() {
		highest = max(highest, head.Membership.Group.Epoch)
	}
	base := term
	if seen := highest >> epochBits; seen > term && seen < maxTerm {
		base = seen + 1
	}
	if newEra {
		// The generation is one of an earlier era.
		base = max(base, p.generation.Load()+1)
	}
	p.fenceBase.Store(max(p.fenceBase.Load(), base))
}

// storeHeads stores the heads of groups that a restored store lacks. It first waits until
// this daemon has read the store's records in the era.
func (p *Planner) storeHeads(ctx context.Context, era uint64) {
	begun := time.Now()
	for ctx.Err() == nil && p.HoldsLease() && p.era.Load() == era && time.Since(begun) < headStoreTimeout {
		if c := p.opts.Directory.Cursor(directory.DaemonsTopic); !c.Known || c.Era < era {
			pause.For(ctx, headCheckInterval)
			continue
		}
		missing := p.opts.Directory.UnrecordedHeads()
		if len(missing) == 0 {
			return
		}
		stored := 0
		for _, head := range missing {
			if err := p.opts.Heads.SaveHead(head.Membership.Group, head); err != nil {
				klog.V(1).ErrorS(err, "head of the group not stored after a restore", "group", head.Membership.Group.Name)
				break
			}
			stored++
		}
		klog.InfoS("heads stored after a restore", "era", era, "missing", len(missing), "stored", stored)
		if stored == len(missing) {
			return
		}
		pause.For(ctx, headRetryDelay)
	}
	// The next renewal by which this daemon holds the lease starts again.
	p.headsStoredIn.CompareAndSwap(era, era-1)
}
