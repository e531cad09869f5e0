package member

import "time"

// maxHealthScore bounds the local health score and with it the factor by which
// an unhealthy detector stretches its probes.
const maxHealthScore = 8

// pauseIntervals is the delay of a Tick, in intervals, from which this process
// counts as paused rather than busy.
const pauseIntervals = 1

// scaleByHealth lengthens a duration in proportion to the local health score.
func (d *Detector) scaleByHealth(t time.Duration) time.Duration {
	return t * time.Duration(1+d.healthScore)
}

func (d *Detector) degradeHealth(n int) { d.healthScore = min(d.healthScore+n, maxHealthScore) }

func (d *Detector) improveHealth() { d.healthScore = max(d.healthScore-1, 0) }

// detectPause detects that this process was not scheduled for a while.
// Timeouts that expired meanwhile say nothing about other members:
// outstanding probes and relays are dropped and suspicions are extended by the
// lost time. Since other members have likely suspected this daemon, it
// announces itself under a new incarnation.
func (d *Detector) detectPause(now time.Time) {
	gap := now.Sub(d.nextTick)
	if d.nextTick.IsZero() || gap < pauseIntervals*d.opt.Interval {
		return
	}
	d.nextTick = now
	clear(d.probes)
	clear(d.relays)
	for _, e := range d.members {
		if e.suspicion != nil {
			e.suspicion.extend(gap)
		}
	}
	d.degradeHealth(1)
	d.refute(d.self.Incarnation)
	d.nextProbe = now.Add(d.opt.Interval)
	d.emit(Event{Kind: Resumed, Node: d.self, Gap: gap})
}
