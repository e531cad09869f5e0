package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func (m *model) check(most int) func(*rapid.T) {
	return func(t *rapid.T) {
		for id, js := range m.running {
			if len(js) > most {
				u := m.p.units[id]
				t.Fatalf("%s runs %d requests, its limit is %d; its home knows of %d held, %d orphans, %d others", id, len(js), most, u.held, len(u.orphans), u.unknown)
			}
		}
	}
}

func (m *model) actions(extra map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	acts := map[string]func(*rapid.T){
		"acquire": func(*rapid.T) { m.acquire() },
		"burst":   func(*rapid.T) { m.burst() },
		"more":    func(*rapid.T) { m.burst() },
		"rest":    func(*rapid.T) { m.pass() },
		"end":     func(*rapid.T) { m.finish() },
		"arrive":  func(*rapid.T) { m.arrive() },
		"send":    func(*rapid.T) { m.send() },
		"finish":  func(*rapid.T) { m.finish() },
		"pass":    func(*rapid.T) { m.pass() },
		"hand":    func(*rapid.T) { m.newHome(true, false) },
		"lose":    func(*rapid.T) { m.newHome(false, false) },
	}
	for name, act := range extra {
		acts[name] = act
	}
	return acts
}

func TestColdLimitHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, Config{Limit: 50, ColdLimit: 2})
		acts := m.actions(map[string]func(*rapid.T){
			"die":   func(*rapid.T) { m.die() },
			"lossy": func(*rapid.T) { m.newHome(false, true) },
			"both":  func(*rapid.T) { m.newHome(true, true) },
		})
		acts[""] = m.check(2)
		t.Repeat(acts)
	})
}

func TestWarmLimitHoldsWhileHoldersAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, Config{Limit: 3, ColdLimit: 3})
		acts := m.actions(nil)
		acts[""] = m.check(3)
		t.Repeat(acts)
	})
}

// TestUnusedRoomIsFound checks that safety is not bought by granting nothing:
// once everything has ended, each replica takes its full limit again.
func TestUnusedRoomIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, Config{Limit: 50, ColdLimit: 2})
		t.Repeat(m.actions(map[string]func(*rapid.T){"die": func(*rapid.T) { m.die() }}))
		for _, h := range m.live() {
			h.unused, h.arriving, h.pending = nil, nil, make(map[string]struct{})
		}
		m.running = make(map[string][]*job)
		for range 120 {
			m.step()
		}
		got := 0
		for range 2 * modelReplicas {
			g, err := m.p.Acquire(m.now, Request{ID: fmt.Sprint("z", got), Holder: m.live()[0].id, Boot: "b", Seq: 1 << 40, Deadline: m.now.Add(time.Second)})
			if err == nil && g != nil {
				got++
			}
		}
		if got != 2*modelReplicas {
			t.Fatalf("%d of %d places found", got, 2*modelReplicas)
		}
	})
}
