package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/platform"
)

// unlistedRetention is how long a VM is remembered after it was removed from
// the list.
const unlistedRetention = time.Hour

// pollVMs reads the VM list periodically while this daemon is the home of any
// pool. If the list cannot be read, the last one remains in use.
func (m *Manager) pollVMs(ctx context.Context) error {
	failed := false
	return m.poll(ctx, nil, func() time.Duration {
		vms, err := m.opts.VMs.List(ctx)
		if err != nil {
			if !failed {
				klog.ErrorS(err, "failed to read the VM list; using the last one")
			}
			failed = true
			return m.opts.ListInterval
		}
		failed = false
		m.mergeVMList(vms, time.Now())
		return min(maxListInterval, max(m.opts.ListInterval, time.Duration(len(vms))*listIntervalPerVM))
	})
}

// pollWeightStore reads the load of the weight store periodically while this
// daemon is the home of any pool.
func (m *Manager) pollWeightStore(ctx context.Context) error {
	if m.opts.WeightStore == nil {
		return nil
	}
	return m.poll(ctx, m.fetchesWaiting, func() time.Duration {
		loads, err := m.opts.WeightStore.Loads(ctx)
		if err != nil {
			// The last known limit of the store still applies to new fetches. The
			// active fetches are then known only from the reports of this daemon's
			// VMs.
			if old := m.weightStoreLoad.Load(); old != nil {
				m.weightStoreLoad.Store(&group.WeightStore{Concurrent: old.Concurrent})
			}
			return m.opts.ListInterval
		}
		now := &group.WeightStore{Concurrent: loads.Concurrent, Active: loads.Active}
		if old := m.weightStoreLoad.Swap(now); old == nil || *old != *now {
			m.inputsChanged.signal()
		}
		return m.opts.ListInterval
	})
}

// poll calls read periodically while this daemon is the home of any pool. read
// returns the time until the next call. A token in expedite shortens that time
// to FastReportInterval.
func (m *Manager) poll(ctx context.Context, expedite <-chan struct{}, read func() time.Duration) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due, expedited := false, false
	for {
		inputs := m.inputsChanged.wait()
		if due && m.homeCount.Load() > 0 {
			timer.Reset(read())
			due, expedited = false, false
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			due = true
		case <-expedite:
			// Only the first token since the last read resets the timer, so that
			// repeated tokens cannot postpone the read.
			if !due && !expedited {
				timer.Reset(m.opts.FastReportInterval)
			}
			expedited = true
		case <-inputs:
		}
	}
}

// mergeVMList merges a VM list into the known VMs. A VM that is no longer
// listed is kept with the time since when.
func (m *Manager) mergeVMList(vms []platform.VM, now time.Time) {
	listed := make(map[string]struct{}, len(vms))
	changed := !m.vmsListed.Load()
	for _, vm := range vms {
		listed[vm.ID] = struct{}{}
		entry := group.VM{
			ID: vm.ID, Addr: vm.Addr, FailureDomain: vm.FailureDomain, FabricDomain: vm.FabricDomain,
			Leaving: vm.State == platform.VMLeaving,
		}
		changed = m.setVM(entry) || changed
	}
	m.vmsListed.Store(true)
	for _, entry := range m.unlistedVMs(listed) {
		if !entry.UnlistedSince.IsZero() {
			m.expireVM(entry, now)
			continue
		}
		entry.UnlistedSince = now
		changed = m.setVM(entry) || changed
	}
	if changed {
		m.inputsChanged.signal()
	}
}

// setVM stores a VM and reports whether it has changed.
func (m *Manager) setVM(entry group.VM) bool {
	if old, ok := m.vms.Get(entry.ID); ok && old == entry {
		return false
	}
	m.vms.Set(entry.ID, entry)
	return true
}

// expireVM removes a VM that has been unlisted for longer than
// unlistedRetention.
func (m *Manager) expireVM(entry group.VM, now time.Time) {
	if now.Sub(entry.UnlistedSince) > unlistedRetention {
		m.vms.Delete(entry.ID)
	}
}

// unlistedVMs returns the known VMs that are not in the list.
func (m *Manager) unlistedVMs(listed map[string]struct{}) []group.VM {
	var out []group.VM
	m.vms.Range(func(id string, entry group.VM) bool {
		if _, ok := listed[id]; !ok {
			out = append(out, entry)
		}
		return true
	})
	return out
}
