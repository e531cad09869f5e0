package fleet

import (
	"context"
	"sync"

	"k8s.io/klog/v2"
)

// supervise keeps one worker for each pool whose home this daemon is.
func (m *Manager) supervise(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	stop := make(map[string]context.CancelFunc)
	for {
		viewChanged, membersChanged := m.opts.View.Changed(), m.opts.Members.Changed()
		want := m.homePools()
		for pool, cancel := range stop {
			if _, keep := want[pool]; !keep {
				klog.InfoS("Pool moved to another home", "pool", pool)
				cancel()
				delete(stop, pool)
			}
		}
		for pool := range want {
			if _, on := stop[pool]; !on {
				stop[pool] = m.start(ctx, pool, &running)
			}
		}
		if m.homes.Swap(int64(len(stop))) == 0 && len(stop) > 0 {
			m.inputs.signal()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-viewChanged:
		case <-membersChanged:
		}
	}
}

// homePools returns the pools to care for. A pool that was dropped still has
// groups to end and VMs to release; a new home learns of it when another pool
// lists one of them.
func (m *Manager) homePools() map[string]struct{} {
	want := make(map[string]struct{})
	for _, row := range m.opts.View.Pools() {
		m.claim(want, row.Pool.Name)
		for _, vm := range row.Pool.VMs {
			if r, held := m.opts.View.Reservation(vm); held && r.Pool != row.Pool.Name {
				m.claim(want, r.Pool)
			}
		}
	}
	m.pools.Range(func(pool string, _ published) bool {
		if _, exists := want[pool]; !exists && len(m.opts.View.Reservations(pool)) > 0 {
			m.claim(want, pool)
		}
		return true
	})
	return want
}

func (m *Manager) claim(want map[string]struct{}, pool string) {
	if m.opts.Members.Owner(HomeKey(pool)) == m.opts.Members.Self() {
		want[pool] = struct{}{}
	}
}

// HomeKey is the key whose owner is the pool's home.
func HomeKey(pool string) string { return "pool/" + pool }

func (m *Manager) start(ctx context.Context, pool string, running *sync.WaitGroup) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	w := newWorker(m, pool)
	klog.InfoS("Became home of pool", "pool", pool)
	running.Go(func() { w.run(ctx) })
	return cancel
}
