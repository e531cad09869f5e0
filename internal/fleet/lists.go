package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/platform"
)

// keepMissing is how long a VM is remembered after it dropped out of the list.
const keepMissing = time.Hour

// followVMs reads the VM list at an interval while this daemon is any pool's
// home. A list that cannot be read stays as it was.
func (m *Manager) followVMs(ctx context.Context) error {
	failed := false
	return m.follow(ctx, nil, func() time.Duration {
		vms, err := m.opts.VMs.List(ctx)
		if err != nil {
			if !failed {
				klog.ErrorS(err, "VM list cannot be read; keeping the last one")
			}
			failed = true
			return m.opts.ListInterval
		}
		failed = false
		m.merge(vms, time.Now())
		return min(maxListEvery, max(m.opts.ListInterval, time.Duration(len(vms))*listPerVM))
	})
}

// followStore reads the weight store's load likewise.
func (m *Manager) followStore(ctx context.Context) error {
	if m.opts.WeightStore == nil {
		return nil
	}
	return m.follow(ctx, m.storeAwaited, func() time.Duration {
		loads, err := m.opts.WeightStore.Loads(ctx)
		if err != nil {
			// The limit of the store's last answer still queues the loads; how
			// many are under way is known from the reports of the own VMs.
			if old := m.store.Load(); old != nil {
				m.store.Store(&group.WeightStore{Concurrent: old.Concurrent})
			}
			return m.opts.ListInterval
		}
		now := &group.WeightStore{Concurrent: loads.Concurrent, Active: loads.Active}
		if old := m.store.Swap(now); old == nil || *old != *now {
			m.inputs.signal()
		}
		return m.opts.ListInterval
	})
}

// follow calls read, which returns the time to the next call, while this daemon
// is any pool's home. A token in soon shortens that time.
func (m *Manager) follow(ctx context.Context, soon <-chan struct{}, read func() time.Duration) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due, prompted := false, false
	for {
		inputs := m.inputs.wait()
		if due && m.homes.Load() > 0 {
			timer.Reset(read())
			due, prompted = false, false
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			due = true
		case <-soon:
			// Only the first token counts, so that many cannot put off the read.
			if !due && !prompted {
				timer.Reset(m.opts.FastReportInterval)
			}
			prompted = true
		case <-inputs:
		}
	}
}

// merge takes in a list. A VM that dropped out is kept with the time since when.
func (m *Manager) merge(vms []platform.VM, now time.Time) {
	seen := make(map[string]struct{}, len(vms))
	changed := !m.listed.Load()
	for _, vm := range vms {
		seen[vm.ID] = struct{}{}
		entry := group.VM{
			ID: vm.ID, Addr: vm.Addr, FailureDomain: vm.FailureDomain, FabricDomain: vm.FabricDomain,
			Leaving: vm.State == platform.VMLeaving,
		}
		changed = m.note(entry) || changed
	}
	m.listed.Store(true)
	for _, entry := range m.missing(seen) {
		if !entry.UnlistedSince.IsZero() {
			m.forget(entry, now)
			continue
		}
		entry.UnlistedSince = now
		changed = m.note(entry) || changed
	}
	if changed {
		m.inputs.signal()
	}
}

func (m *Manager) note(entry group.VM) bool {
	if old, ok := m.vms.Get(entry.ID); ok && old == entry {
		return false
	}
	m.vms.Set(entry.ID, entry)
	return true
}

// forget drops an entry that has been off the list for long.
func (m *Manager) forget(entry group.VM, now time.Time) {
	if now.Sub(entry.UnlistedSince) > keepMissing {
		m.vms.Delete(entry.ID)
	}
}

// missing returns the entries that the list lacks.
func (m *Manager) missing(seen map[string]struct{}) []group.VM {
	var out []group.VM
	m.vms.Range(func(id string, entry group.VM) bool {
		if _, ok := seen[id]; !ok {
			out = append(out, entry)
		}
		return true
	})
	return out
}
