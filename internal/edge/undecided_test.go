package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// The host of an engine that broke off an attempt does not answer. The list shows later
// whether the engine has ended.
func TestEndsThatOnlyTheListShows(t *testing.T) {
	const addr = "10.0.0.1:80"
	broken := time.Unix(1000, 0)
	cases := []struct {
		name   string
		listed []catalog.Engine
		after  time.Duration
		ended  bool
		// pending is set if a later change of the list may still show the end.
		pending bool
	}{
		{"unchanged", []catalog.Engine{{ID: "i-1", Addr: addr, StartUnixMS: 100}}, time.Second, false, true},
		{"gone from the list, maybe cut off", nil, time.Second, false, true},
		{"started again", []catalog.Engine{{ID: "i-1", Addr: addr, StartUnixMS: 101}}, 3 * time.Second, true, false},
		{"another engine at its address", []catalog.Engine{{ID: "i-2", Addr: addr, StartUnixMS: 101}}, 3 * time.Second, true, false},
		{"an earlier engine at its address", []catalog.Engine{{ID: "i-0", Addr: addr, StartUnixMS: 50}}, time.Second, false, true},
		{"another engine elsewhere", []catalog.Engine{{ID: "i-2", Addr: "10.0.0.2:80", StartUnixMS: 101}}, time.Second, false, true},
		{"unchanged for long", []catalog.Engine{{ID: "i-1", Addr: addr, StartUnixMS: 100}}, undecidedTTL + time.Second, false, false},
	}
	for _, c := range cases {
		find := func(is func(*catalog.Engine) bool) (*catalog.Engine, bool) {
			for i := range c.listed {
				if is(&c.listed[i]) {
					return &c.listed[i], true
				}
			}
			return nil, false
		}
		var ended []suspect.Exposure
		u := &undecidedBreaks{
			listed: func(id string) (*catalog.Engine, bool) {
				return find(func(e *catalog.Engine) bool { return e.ID == id })
			},
			listedAt: func(addr string) (*catalog.Engine, bool) {
				return find(func(e *catalog.Engine) bool { return e.Addr == addr })
			},
			onEnd: func(x suspect.Exposure) { ended = append(ended, x) }, pending: shard.NewMap[undecidedBreak](),
		}
		x := suspect.Exposure{Engine: "i-1", StartMS: 100, Identity: suspect.Identity{Request: 7, Parts: []suspect.Fingerprint{8}}, SentAt: broken.Add(-time.Second), EndedAt: broken}
		u.add(&catalog.Engine{ID: "i-1", Addr: addr, StartUnixMS: 100}, x)
		u.resolve(broken.Add(c.after))
		must.Eq(t, c.pending, u.pending.Len() == 1, must.Sprint(c.name))
		if !c.ended {
			must.Len(t, 0, ended, must.Sprint(c.name))
			continue
		}
		x.Identity.Parts = nil
		must.Eq(t, []suspect.Exposure{x}, ended, must.Sprint(c.name))
	}
}

// TestUndecidedBreaksAreBounded breaks off more attempts than are kept.
func TestUndecidedBreaksAreBounded(t *testing.T) {
	u := &undecidedBreaks{pending: shard.NewMap[undecidedBreak]()}
	for k := range 2 * maxUndecided {
		u.add(&catalog.Engine{ID: "i-1"}, suspect.Exposure{Identity: suspect.Identity{Request: suspect.Fingerprint(k)}})
	}
	must.Eq(t, maxUndecided, u.pending.Len())
}
