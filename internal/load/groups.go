package load

import (
	"sync"
	"time"
)

// VMSample is one VM as it was seen at a time.
type VMSample struct {
	VM string
	// FencingToken is the group that it belongs to; 0 is none.
	FencingToken uint64
	// Ready says that it is loaded and alive for that group.
	Ready bool
	// Alive says that it answers.
	Alive bool
}

// GroupMeter adds up group downtime and stranded VM-seconds from samples.
type GroupMeter struct {
	opts GroupCriteria

	mu       sync.Mutex
	last     time.Duration
	started  bool
	most     int
	span     time.Duration
	complete time.Duration // group-seconds served
	stranded time.Duration
	samples  int
	now      int
	strandNo int
}

// NewGroupMeter returns a meter at zero.
func NewGroupMeter(o GroupCriteria) *GroupMeter { return &GroupMeter{opts: o} }

// Add accounts the time since the last sample under what that one showed.
func (m *GroupMeter) Add(at time.Duration, vms []VMSample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started {
		dt := max(at-m.last, 0) // two looks at once may come in the other order
		m.span += dt
		m.complete += dt * time.Duration(m.now)
		m.stranded += dt * time.Duration(m.strandNo)
	}
	m.now, m.strandNo = m.count(vms)
	m.most = max(m.most, m.now)
	m.last, m.started = max(at, m.last), true
	m.samples++
}

// count returns the complete groups, and the living VMs held by others.
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
		if g.ready >= m.opts.Size {
			complete++
		} else {
			stranded += g.alive
		}
	}
	return complete, stranded
}

// GroupResult is the meter's reading.
type GroupResult struct {
	Samples  int     `json:"samples"`
	Expected int     `json:"expected_groups"`
	SpanS    float64 `json:"span_s"`
	// DowntimeS is the sum over groups of the time that they did not serve.
	DowntimeS float64 `json:"downtime_group_s"`
	// StrandedS is the sum over VMs of the time spent in an incomplete group.
	StrandedS float64 `json:"stranded_vm_s"`
}

// Result returns the reading.
func (m *GroupMeter) Result() GroupResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	expected := m.opts.Expected
	if expected == 0 {
		expected = m.most
	}
	due := m.span * time.Duration(expected)
	return GroupResult{
		Samples: m.samples, Expected: expected, SpanS: m.span.Seconds(),
		DowntimeS: max(due-m.complete, 0).Seconds(), StrandedS: m.stranded.Seconds(),
	}
}
