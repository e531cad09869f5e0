package dispatch

import (
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/quarantine"
	"github.com/ragwortquay/ragwortquay/internal/retry"
)

// judge refuses a request that has crashed its targets, and marks a suspected
// one to run alone, so that its neighbours are neither harmed nor blamed.
func (d *Dispatcher) judge(j *job) error {
	r := j.req
	j.prints = quarantine.Prints(r.Workspace, r.Kind, r.Key, r.Body)
	switch d.opts.Quarantine.Judge(j.prints) {
	case retry.Refused:
		err := fault.Refuse(fault.Quarantined, "change the request; the same one is refused for a while", "the request crashed the targets that ran it")
		return d.refusal(r, err)
	case retry.Suspected:
		j.alone = true
	}
	return nil
}

// demise is what became of a target whose answer did not come.
type demise uint8

const (
	// stillThere means that the target answers in the same incarnation.
	stillThere demise = iota
	// gone means that it does not answer, or has booted anew.
	gone
)

// examine asks the target for its boot id over a new connection.
func (t *try) examine() demise {
	boot, alive := t.d.opts.Targets.Probe(t.grant.Addr)
	if alive && strings.Contains(t.grant.Incarnation, boot) {
		return stillThere
	}
	return gone
}

// noQuarantine suspects nothing.
type noQuarantine struct{}

func (noQuarantine) Judge([]retry.Print) retry.Verdict { return retry.Clear }
func (noQuarantine) Begin(limit.Grant, []retry.Print)  {}
func (noQuarantine) End(limit.Grant, bool)             {}
func (noQuarantine) Crashed(limit.Grant)               {}
