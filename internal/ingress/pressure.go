package ingress

import (
	"time"

	"k8s.io/klog/v2"
)

// pressureHold is how long nothing may have hit a limit before the pressure counts as
// over, so that a crowd gives two lines of the log.
const pressureHold = 5 * time.Second

// pressure logs when a limit begins to be hit and when it no longer is. It is not safe
// for concurrent use.
type pressure struct {
	active bool
	last   time.Time
}

// hit records that the limit was hit.
func (p *pressure) hit(now time.Time, message string, fields ...any) {
	if !p.active {
		klog.InfoS(message, fields...)
	}
	p.active, p.last = true, now
}

// ease ends the pressure if the limit was not hit lately.
func (p *pressure) ease(now time.Time, message string) {
	if p.active && now.Sub(p.last) >= pressureHold {
		p.active = false
		klog.InfoS(message)
	}
}
