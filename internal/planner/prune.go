package planner

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

// pruneInterval is the minimum time between two calls of prune.
const pruneInterval = 10 * time.Second

// prune deletes the planner's state of expired orders and ended groups, so that it
// does not grow with every group that is formed during a long lease. A closed group
// that is announced again after that is closed again, which is safe.
func (p *Planner) prune(groups map[string]bool, heads map[string]*catalog.Engine, now time.Time) {
	expired := func(_ string, until time.Time) bool { return now.After(until) }
	p.reservedUntil.DeleteFunc(expired)
	p.unansweredUntil.DeleteFunc(expired)
	p.openingUntil.DeleteFunc(expired)
	p.formations.DeleteFunc(func(_ string, f formation) bool { return now.After(f.until) })
	p.stagedLoads.DeleteFunc(func(_ string, s stagedLoad) bool { return now.After(s.until) })
	p.closedGroups.DeleteFunc(func(name string, _ closedGroup) bool { return !groups[name] })
	p.acceptedLeaves.DeleteFunc(func(_ string, l acceptedLeave) bool { return !groups[l.group.Name] })
	p.unopenedGroups.DeleteFunc(func(name string, id catalog.GroupID) bool {
		_, forming := p.formations.Get(name)
		return !groups[name] && !forming
	})
	p.headVerdicts.DeleteFunc(func(name string, _ placement.HeadVerdict) bool { return !groups[name] })
	p.headlessSince.DeleteFunc(func(name string, _ time.Time) bool { return !groups[name] })
	p.memberlessSince.DeleteFunc(func(name string, _ time.Time) bool {
		_, stored := heads[name]
		return !stored
	})
}

// pruneDue calls prune if pruneInterval has passed since the last call.
func (p *Planner) pruneDue(cfg *catalog.Config) {
	now := time.Now()
	if now.Sub(p.lastPrune) < pruneInterval {
		return
	}
	p.lastPrune = now
	p.prune(groupNames(p.opts.Directory, cfg), p.opts.Directory.Heads(), now)
}

// groupNames returns the names of all groups that have members.
func groupNames(d *directory.Directory, cfg *catalog.Config) map[string]bool {
	names := map[string]bool{}
	for service := range cfg.Services {
		view, ok := d.Service(service)
		if !ok {
			continue
		}
		for i := range view.Groups {
			names[view.Groups[i].ID.Name] = true
		}
	}
	return names
}
