package load

import (
	"sync"
	"time"
)

// VMSample is the state of one VM at the time of a sample.
type VMSample struct {
	VM string
	// FencingToken identifies the VM's group; 0 means no group.
	FencingToken uint64
	// Ready reports whether the VM has loaded the model for that group and is alive.
	Ready bool
	// Alive reports whether the VM responds.
	Alive bool
}

// GroupMeter accumulates group downtime and stranded VM-seconds from samples.
type GroupMeter struct {
	criteria GroupCriteria

	mu           sync.Mutex
	lastAt       time.Duration
	started      bool          // set by the first sample
	maxComplete  int           // most complete groups in one sample
	span         time.Duration // from the first to the last sample
	servedTime   time.Duration // summed over groups
	strandedTime time.Duration
	samples      int
	lastComplete int // complete groups in the last sample
	lastStranded int // stranded VMs in the last sample
}

// NewGroupMeter returns a meter without samples.
func NewGroupMeter(c GroupCriteria) *GroupMeter { return &GroupMeter{criteria: c} }

// Add records a sample. The time since the previous sample is accounted with the state
// that the previous sample showed.
func (m *GroupMeter) Add(at time.Duration, vms []VMSample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started {
		dt := max(at-m.lastAt, 0) // concurrent samples may arrive out of order
		m.span += dt
		m.servedTime += dt * time.Duration(m.lastComplete)
		m.strandedTime += dt * time.Duration(m.lastStranded)
	}
	m.lastComplete, m.lastStranded = m.count(vms)
	m.maxComplete = max(m.maxComplete, m.lastComplete)
	m.lastAt, m.started = max(at, m.lastAt), true
	m.samples++
}

// count returns the number of complete groups, and the number of live VMs that belong
// to incomplete groups.
func (m *GroupMeter) count(vms []VMSample) (complete, stranded int) {
	type group struct{ ready, alive int }
	groups := make(map[uint64]group)
	for _, v := range vms {
		if v.FencingToken == 0 || !v.Alive {
			continue
		}
		g := groups[v.FencingToken]
		g.alive++
		if v.Ready {
			g.ready++
		}
		groups[v.FencingToken] = g
	}
	for _, g := range groups {
		if g.ready >= m.criteria.Size {
			complete++
		} else {
			stranded += g.alive
		}
	}
	return complete, stranded
}

// GroupResult holds the totals of a GroupMeter.
type GroupResult struct {
	Samples int `json:"samples"`
	// Expected is the number of groups that should have served.
	Expected int `json:"expected_groups"`
	// SpanS is the time in seconds from the first to the last sample.
	SpanS float64 `json:"span_s"`
	// DowntimeS is the time in seconds during which groups did not serve, summed over
	// groups.
	DowntimeS float64 `json:"downtime_group_s"`
	// StrandedS is the time in seconds that live VMs spent in an incomplete group,
	// summed over VMs.
	StrandedS float64 `json:"stranded_vm_s"`
}

// Result returns the totals so far.
func (m *GroupMeter) Result() GroupResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	expected := m.criteria.Expected
	if expected == 0 {
		expected = m.maxComplete
	}
	expectedTime := m.span * time.Duration(expected)
	return GroupResult{
		Samples: m.samples, Expected: expected, SpanS: m.span.Seconds(),
		DowntimeS: max(expectedTime-m.servedTime, 0).Seconds(), StrandedS: m.strandedTime.Seconds(),
	}
}
