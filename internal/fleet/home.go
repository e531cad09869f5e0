package fleet

import (
	"context"
	"sync"

	"k8s.io/klog/v2"
)

// supervise runs one worker for each pool whose home this daemon is.
func (m *Manager) supervise(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	cancels := make(map[string]context.CancelFunc)
	for {
		viewChanged, membersChanged := m.opts.View.Changed(), m.opts.Members.Changed()
		want := m.homePools()
		for pool, cancel := range cancels {
			if _, keep := want[pool]; !keep {
				klog.InfoS("pool moved to another home", "pool", pool)
				cancel()
				delete(cancels, pool)
			}
		}
		for pool := range want {
			if _, on := cancels[pool]; !on {
				cancels[pool] = m.startWorker(ctx, pool, &running)
			}
		}
		if m.homeCount.Swap(int64(len(cancels))) == 0 && len(cancels) > 0 {
			m.inputsChanged.signal()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-viewChanged:
		case <-membersChanged:
		}
	}
}

// homePools returns the pools whose home this daemon is. These include deleted
// pools that still have reservations, since their groups must be ended and
// their VMs released. A new home of a deleted pool discovers it when another
// pool lists one of its VMs.
func (m *Manager) homePools() map[string]struct{} {
	want := make(map[string]struct{})
	for _, row := range m.opts.View.Pools() {
		m.addIfOwned(want, row.Pool.Name)
		for _, vm := range row.Pool.VMs {
			if r, held := m.opts.View.Reservation(vm); held && r.Pool != row.Pool.Name {
				m.addIfOwned(want, r.Pool)
			}
		}
	}
	m.published.Range(func(pool string, _ publishedPool) bool {
		if _, exists := want[pool]; !exists && len(m.opts.View.Reservations(pool)) > 0 {
			m.addIfOwned(want, pool)
		}
		return true
	})
	return want
}

// addIfOwned adds the pool to want if this daemon is its home.
func (m *Manager) addIfOwned(want map[string]struct{}, pool string) {
	if m.opts.Members.Owner(HomeKey(pool)) == m.opts.Members.Self() {
		want[pool] = struct{}{}
	}
}

// HomeKey returns the key whose owner is the home of the pool.
func HomeKey(pool string) string { return "pool/" + pool }

// startWorker starts the worker of a pool and returns the function that stops
// it.
func (m *Manager) startWorker(ctx context.Context, pool string, running *sync.WaitGroup) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	w := newWorker(m, pool)
	klog.InfoS("this daemon became the home of the pool", "pool", pool)
	running.Go(func() { w.run(ctx) })
	return cancel
}
