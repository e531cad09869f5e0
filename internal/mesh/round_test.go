package mesh

import (
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

func peerNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("front-", i))
	}
	return out
}

func TestPlanRound(t *testing.T) {
	two := map[string]bool{"front-0": true, "front-1": true}
	other := map[string]bool{"front-0": true}
	const slice = collectorInterval / sumSlices
	cases := []struct {
		name                 string
		fleet                fleetView
		full, sums, presence int
		interval             time.Duration
	}{
		{"a small fleet", fleetView{names: peerNames(14), collectors: two}, 14, 0, 0, minReportInterval},
		{"a small fleet, a collector", fleetView{names: peerNames(39), isCollector: true, collectors: two}, 39, 0, 0, 200 * time.Millisecond},
		{"a large fleet, no collector known", fleetView{names: peerNames(116), isRanked: true, presenceDue: true}, 116, 0, 0, 585 * time.Millisecond},
		{"a large fleet", fleetView{names: peerNames(116), collectors: two}, 2, 0, 0, collectorInterval},
		{"a large fleet, presence is due", fleetView{names: peerNames(116), collectors: two, presenceDue: true}, 2, 0, 0, collectorInterval},
		{"a large fleet, presence of a ranked daemon is due", fleetView{names: peerNames(116), collectors: two, isRanked: true, presenceDue: true}, 2, 0, 114, collectorInterval},
		{"a large fleet, a collector", fleetView{names: peerNames(116), isCollector: true, collecting: time.Second, collectors: other}, 1, 23, 0, slice},
		{"a large fleet, the only collector", fleetView{names: peerNames(116), isCollector: true, collecting: time.Second, presenceDue: true}, 0, 24, 0, slice},
		{"a large fleet, a new collector does not know the loads", fleetView{names: peerNames(116), isCollector: true, collectors: other, presenceDue: true}, 1, 0, 115, collectorInterval},
	}
	for _, c := range cases {
		round := c.fleet.planRound()
		must.Eq(t, []int{c.full, c.sums, c.presence}, []int{len(round.full), len(round.sums), len(round.presence)}, must.Sprint(c.name))
		must.Eq(t, c.interval, round.interval, must.Sprint(c.name))
	}
}

// TestSumsReachEachDaemonOncePerInterval checks that the rounds of a collector take
// turns through all daemons.
func TestSumsReachEachDaemonOncePerInterval(t *testing.T) {
	got := map[string]int{}
	for n := range 2 * sumSlices {
		f := fleetView{names: peerNames(294), isCollector: true, collecting: time.Second, collectors: map[string]bool{"front-7": true}, round: n}
		round := f.planRound()
		must.LessEq(t, 294/sumSlices+1, len(round.sums))
		for _, name := range round.sums {
			got[name]++
		}
	}
	must.MapLen(t, 293, got)
	for name, times := range got {
		must.Eq(t, 2, times, must.Sprint(name))
	}
}

// TestDatagramRateOfLargeFleets checks that the datagram rate of a large fleet,
// presence reports included, grows linearly with its size, not with the square.
func TestDatagramRateOfLargeFleets(t *testing.T) {
	const ranked = 8
	perSecond := func(n int) float64 {
		plain := fleetView{names: peerNames(n - 1), collectors: map[string]bool{"front-0": true, "front-1": true}}
		collector := fleetView{names: peerNames(n - 1), isCollector: true, collecting: time.Second, collectors: map[string]bool{"front-0": true}}
		rate := func(f fleetView) float64 {
			round := f.planRound()
			return float64(len(round.full)+len(round.sums)) / round.interval.Seconds()
		}
		withPresence := plain
		withPresence.isRanked, withPresence.presenceDue = true, true
		presenceRate := float64(len(withPresence.planRound().presence)) / presenceInterval.Seconds()
		return float64(n-2)*rate(plain) + ranked*presenceRate + 2*rate(collector)
	}
	must.Less(t, 4*perSecond(100), perSecond(300))
	must.Less(t, 300*300/minReportInterval.Seconds()/10, perSecond(300), must.Sprint("at most a tenth of the datagrams of direct reports"))
}

func TestSplitSumsCoversEachEngineOnce(t *testing.T) {
	for _, engines := range []int{0, 1, maxSumEntries, maxSumEntries + 1, 1095} {
		var loads []wire.EngineLoad
		for i := range engines {
			loads = append(loads, wire.EngineLoad{Engine: fmt.Sprint("i-", i), InFlight: i, PendingTokens: 3 * i})
		}
		got := map[uint32]wire.HashedLoad{}
		parts := splitSums(&wire.LoadReport{Sender: "a", Loads: loads[:min(1, engines)]}, loads)
		next := uint32(0)
		for i, p := range parts {
			must.Len(t, 0, p.Report.Loads)
			must.Eq(t, next, p.From, must.Sprint("a gap between two parts"))
			must.Eq(t, i == len(parts)-1, p.To == math.MaxUint32)
			next = p.To + 1
			packed, err := p.Unpack()
			must.NoError(t, err)
			must.LessEq(t, maxSumEntries, len(packed))
			for _, l := range packed {
				must.True(t, p.From <= l.Hash && l.Hash <= p.To)
				got[l.Hash] = l
			}
		}
		must.MapLen(t, engines, got)
		for _, l := range loads {
			hash := wire.EngineHash(l.Engine)
			must.Eq(t, wire.HashedLoad{Hash: hash, InFlight: l.InFlight, PendingTokens: l.PendingTokens}, got[hash])
		}
	}
}

// TestReportOfLostDomainIsSent checks that a report with more suspected engines than
// fit in a datagram is sent with some of them.
func TestReportOfLostDomainIsSent(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	defer func() { _ = receiver.Close() }()
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	defer func() { _ = sender.Close() }()
	m := New(Options{Node: "a"})
	m.conn.Store(sender)
	r := wire.LoadReport{Sender: "a", SentNS: 1 << 60}
	for i := range 73 {
		r.Suspects = append(r.Suspects, wire.Suspect{Engine: fmt.Sprintf("i-%010d", i), Group: "gabcdefghij", Epoch: 1 << 40})
	}
	m.sendEach(map[string]string{"b": receiver.LocalAddr().String()}, []string{"b"}, r)
	buf := make([]byte, receiveBufferBytes)
	must.NoError(t, receiver.SetReadDeadline(time.Now().Add(20*time.Second)))
	n, err := receiver.Read(buf)
	must.NoError(t, err)
	got, err := wire.DecodeDatagram(buf[:n])
	must.NoError(t, err)
	report, ok := got.(*wire.LoadReport)
	must.True(t, ok)
	must.Greater(t, 10, len(report.Suspects))
}

// TestPushesStayWithinTheLink checks the rate of a push to a large fleet.
func TestPushesStayWithinTheLink(t *testing.T) {
	const link = 200 * 1e6 / 8
	must.Eq(t, rate.Inf, newPushLimiter(0).Limit())
	duration := func(bytes, step int) time.Duration {
		start, l := time.Now(), newPushLimiter(link)
		at := start
		for sent := 0; sent < bytes; sent += step {
			at = at.Add(l.ReserveN(at, step).DelayFrom(at))
		}
		return at.Sub(start)
	}
	const long = maxBurstBytes + 1000*pacedBytes
	must.InDelta(t, pushLinkShare*link, 1000*pacedBytes/duration(long, pacedBytes).Seconds(), 1)
	// A push of one datagram to 294 daemons takes less than a report interval.
	must.Less(t, collectorInterval, duration(294*maxDatagram, maxDatagram))
}
