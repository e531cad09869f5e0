package gossip

import "sync/atomic"

// Counters are the datagrams and their bytes so far, without UDP and IP headers.
type Counters struct {
	DatagramsIn  uint64
	DatagramsOut uint64
	BytesIn      uint64
	BytesOut     uint64
	// Rejected counts datagrams that were not sealed under a known key or made
	// no sense.
	Rejected uint64
}

type meter struct {
	datagramsIn, datagramsOut, bytesIn, bytesOut, rejected atomic.Uint64
}

func (m *meter) received(n int) {
	m.datagramsIn.Add(1)
	m.bytesIn.Add(uint64(n))
}

func (m *meter) sent(n int) {
	m.datagramsOut.Add(1)
	m.bytesOut.Add(uint64(n))
}

// Counters returns the traffic so far.
func (m *Manager) Counters() Counters {
	return Counters{
		DatagramsIn: m.meter.datagramsIn.Load(), DatagramsOut: m.meter.datagramsOut.Load(),
		BytesIn: m.meter.bytesIn.Load(), BytesOut: m.meter.bytesOut.Load(),
		Rejected: m.meter.rejected.Load(),
	}
}

// HealthScore returns the local health score of the failure detector; 0 is well.
func (m *Manager) HealthScore() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.HealthScore()
}
