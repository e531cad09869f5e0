package member

import "time"

// maxHealth bounds the local health score: the probes of an ailing observer
// get at most this many times longer.
const maxHealth = 8

// gapIntervals is how many intervals late a Tick is taken for a pause of this
// daemon, not a busy moment.
const gapIntervals = 1

// scaled lengthens a time by the local health score.
func (d *Detector) scaled(t time.Duration) time.Duration {
	return t * time.Duration(1+d.health)
}

func (d *Detector) worsen(n int) { d.health = min(d.health+n, maxHealth) }

func (d *Detector) improve() { d.health = max(d.health-1, 0) }

// notice detects that this daemon was not run for a while. What it awaited
// meanwhile says nothing about others: their probes are dropped, suspicions are
// given the lost time back, and since others have likely accused this daemon,
// it announces itself under a new incarnation.
func (d *Detector) notice(now time.Time) {
	gap := now.Sub(d.due)
	if d.due.IsZero() || gap < gapIntervals*d.opt.Interval {
		return
	}
	d.due = now
	clear(d.probes)
	clear(d.relays)
	for _, e := range d.members {
		if e.suspicion != nil {
			e.suspicion.shift(gap)
		}
	}
	d.worsen(1)
	d.refute(d.self.Incarnation)
	d.nextProbe = now.Add(d.opt.Interval)
	d.event(Event{Kind: Resumed, Node: d.self, Gap: gap})
}
