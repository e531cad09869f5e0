package edge

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

const (
	// undecidedTTL is how long the list may take to show that an engine has ended.
	undecidedTTL = 10 * time.Second
	// maxUndecided bounds the attempts whose engines may have ended.
	maxUndecided = 1024
	// undecidedSweep is the interval at which expired ones are deleted.
	undecidedSweep = time.Second
)

// undecidedBreaks holds attempts that were broken off by engines whose hosts did not
// answer, until the list shows that another engine, or a later start, has the place of
// theirs.
type undecidedBreaks struct {
	// listed returns the engine with an id as the store lists it, listedAt the one that
	// started last at an address.
	listed   func(id string) (*catalog.Engine, bool)
	listedAt func(addr string) (*catalog.Engine, bool)
	// changed returns a channel that is closed at the next change of the list.
	changed func() <-chan struct{}
	// onEnd is called for each attempt whose engine has ended.
	onEnd   func(suspect.Exposure)
	pending *shard.Map[undecidedBreak]
}

type undecidedBreak struct {
	addr     string
	exposure suspect.Exposure
}

func (d *Daemon) newUndecidedBreaks() *undecidedBreaks {
	return &undecidedBreaks{
		listed: d.directory.Engine, listedAt: d.directory.EngineAt, changed: d.directory.Changed,
		onEnd: func(x suspect.Exposure) { d.watch.EngineEnded(x) }, pending: shard.NewMap[undecidedBreak](),
	}
}

// add records an attempt. The parts of its prompt are left out: they may have been in
// flight at all engines of a place that is cut off.
func (u *undecidedBreaks) add(e *catalog.Engine, x suspect.Exposure) {
	if u.pending.Len() >= maxUndecided {
		return
	}
	x.Identity.Parts = nil
	u.pending.Set(e.ID+"/"+strconv.FormatInt(e.StartUnixMS, 10)+"/"+suspect.Text(x.Identity.Request), undecidedBreak{e.Addr, x})
}

// run follows the list until ctx ends.
func (u *undecidedBreaks) run(ctx context.Context) error {
	ticker := time.NewTicker(undecidedSweep)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := u.changed()
		u.resolve(time.Now())
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}

// resolve records the ends that the list shows, and deletes expired attempts.
func (u *undecidedBreaks) resolve(now time.Time) {
	if u.pending.Len() == 0 {
		return
	}
	var ended []suspect.Exposure
	u.pending.DeleteFunc(func(_ string, b undecidedBreak) bool {
		hasEnded := u.hasEnded(&b)
		if hasEnded {
			ended = append(ended, b.exposure)
		}
		return hasEnded || now.Sub(b.exposure.EndedAt) > undecidedTTL
	})
	for _, x := range ended {
		klog.InfoS("end shown by the list", "engine", x.Engine, "start_ms", x.StartMS, "fingerprint", suspect.Text(x.Identity.Request),
			"ms_ago", now.Sub(x.EndedAt).Milliseconds())
		u.onEnd(x)
	}
}

// hasEnded reports whether the list has a later start of the engine, or a later engine at
// its address.
func (u *undecidedBreaks) hasEnded(b *undecidedBreak) bool {
	if listed, ok := u.listed(b.exposure.Engine); ok && listed.StartUnixMS > b.exposure.StartMS {
		return true
	}
	at, ok := u.listedAt(b.addr)
	return ok && at.ID != b.exposure.Engine && at.StartUnixMS > b.exposure.StartMS
}
