package gossip

import "sync/atomic"

// Counters are the numbers of datagrams and bytes since the start, without UDP
// and IP headers.
type Counters struct {
	DatagramsIn  uint64
	DatagramsOut uint64
	BytesIn      uint64
	BytesOut     uint64
	// Rejected counts received datagrams with an invalid MAC or malformed content.
	Rejected uint64
}

// trafficMeter collects the Counters of a Manager.
type trafficMeter struct {
	datagramsIn, datagramsOut, bytesIn, bytesOut, rejected atomic.Uint64
}

func (m *trafficMeter) countReceived(n int) {
	m.datagramsIn.Add(1)
	m.bytesIn.Add(uint64(n))
}

func (m *trafficMeter) countSent(n int) {
	m.datagramsOut.Add(1)
	m.bytesOut.Add(uint64(n))
}

// Counters returns the traffic since the start.
func (m *Manager) Counters() Counters {
	return Counters{
		DatagramsIn: m.meter.datagramsIn.Load(), DatagramsOut: m.meter.datagramsOut.Load(),
		BytesIn: m.meter.bytesIn.Load(), BytesOut: m.meter.bytesOut.Load(),
		Rejected: m.meter.rejected.Load(),
	}
}

// HealthScore returns the local health score of the failure detector; 0 means
// healthy, a higher score that this daemon itself is slow or badly connected.
func (m *Manager) HealthScore() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.HealthScore()
}
