package planner

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
)

// pruneInterval is the least time between two walks that drop what is over.
const pruneInterval = 10 * time.Second

// prune drops what the planner noted of formations that are over, so that the
// notes of a long lease do not grow with each formation. A closed group that
// comes back into view after that is closed once more, which is safe.
func (p *Planner) prune(groups map[string]bool, heads map[string]*catalog.Engine, now time.Time) {
	over := func(_ string, until time.Time) bool { return now.After(until) }
	p.reserved.DeleteFunc(over)
	p.unanswered.DeleteFunc(over)
	p.opening.DeleteFunc(over)
	p.own.DeleteFunc(func(_ string, f formation) bool { return now.After(f.until) })
	p.staging.DeleteFunc(func(_ string, s staging) bool { return now.After(s.until) })
	p.closed.DeleteFunc(func(name string, _ catalog.GroupID) bool { return !groups[name] })
	p.headless.DeleteFunc(func(name string, _ time.Time) bool { return !groups[name] })
	p.memberless.DeleteFunc(func(name string, _ time.Time) bool {
		_, noted := heads[name]
		return !noted
	})
}

// pruneDue prunes once in a pruneInterval.
func (p *Planner) pruneDue(cfg *catalog.Config) {
	now := time.Now()
	if now.Sub(p.pruned) < pruneInterval {
		return
	}
	p.pruned = now
	p.prune(groupNames(p.o.Directory, cfg), p.o.Directory.Heads(), now)
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
