package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func (m *model) checkLimit(limit int) func(*rapid.T) {
	return func(t *rapid.T) {
		for id, jobs := range m.running {
			if len(jobs) > limit {
				rs := m.p.replicas[id]
				t.Fatalf("replica %s runs %d requests, limit %d; the home counts %d held grants, %d orphans, %d unattributed", id, len(jobs), limit, rs.held, len(rs.orphans), rs.unattributed)
			}
		}
	}
}

func (m *model) actions(extra map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	// Actions under two names are drawn twice as often.
	all := map[string]func(*rapid.T){
		"acquire":                func(*rapid.T) { m.acquire() },
		"burst":                  func(*rapid.T) { m.burst() },
		"burst again":            func(*rapid.T) { m.burst() },
		"advance":                func(*rapid.T) { m.advance() },
		"finish again":           func(*rapid.T) { m.finishWork() },
		"deliver":                func(*rapid.T) { m.deliverGrant() },
		"start":                  func(*rapid.T) { m.startWork() },
		"finish":                 func(*rapid.T) { m.finishWork() },
		"advance again":          func(*rapid.T) { m.advance() },
		"new home with snapshot": func(*rapid.T) { m.newHome(true, false) },
		"new home":               func(*rapid.T) { m.newHome(false, false) },
	}
	for name, act := range extra {
		all[name] = act
	}
	return all
}

func TestColdLimitNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, Config{Limit: 50, ColdLimit: 2})
		acts := m.actions(map[string]func(*rapid.T){
			"kill holder":                                func(*rapid.T) { m.killHolder() },
			"new home without all holders":               func(*rapid.T) { m.newHome(false, true) },
			"new home with snapshot without all holders": func(*rapid.T) { m.newHome(true, true) },
		})
		acts[""] = m.checkLimit(2)
		t.Repeat(acts)
	})
}

func TestWarmLimitNeverExceededWhileHoldersAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, Config{Limit: 3, ColdLimit: 3})
		acts := m.actions(nil)
		acts[""] = m.checkLimit(3)
		t.Repeat(acts)
	})
}

// TestFreeCapacityIsReused guards against a pool that keeps its limits by refusing
// to grant: after all work has ended, each replica takes its full limit again.
func TestFreeCapacityIsReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, Config{Limit: 50, ColdLimit: 2})
		t.Repeat(m.actions(map[string]func(*rapid.T){"kill holder": func(*rapid.T) { m.killHolder() }}))
		for _, h := range m.live() {
			h.unused, h.arriving, h.pending = nil, nil, make(map[string]struct{})
		}
		m.running = make(map[string][]*job)
		for range 120 {
			m.step()
		}
		granted := 0
		for range 2 * modelReplicas {
			g, err := m.p.Acquire(m.now, Request{ID: fmt.Sprint("z", granted), Holder: m.live()[0].id, BootID: "b", Seq: 1 << 40, Deadline: m.now.Add(time.Second)})
			if err == nil && g != nil {
				granted++
			}
		}
		if granted != 2*modelReplicas {
			t.Fatalf("after all work ended, %d of %d requests were granted", granted, 2*modelReplicas)
		}
	})
}
