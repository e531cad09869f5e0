package dispatch

import (
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/retry"
)

// judge refuses a request that has crashed its targets, and marks a suspected
// one to run alone, so that its neighbours are neither harmed nor blamed.
func (d *Dispatcher) judge(j *job) error {
	switch d.opts.Quarantine.Verdict(j.prints) {
	case retry.Refused:
		err := fault.Refuse(fault.Quarantined, "change the request; the same one is refused for a while", "the request crashed the targets that ran it")
		return d.refusal(j.req, err)
	case retry.Suspected:
		j.alone = true
	}
	return nil
}

// gone asks the target for its boot id over a new connection. It reports true
// if the target does not answer, or has booted anew.
func (t *try) gone() bool {
	boot, alive := t.d.opts.Targets.Probe(t.grant.Addr)
	return !alive || !strings.Contains(t.grant.Incarnation, boot)
}

// noQuarantine suspects nothing.
type noQuarantine struct{}

func (noQuarantine) Verdict([]retry.Fingerprint) retry.Verdict     { return retry.Clear }
func (noQuarantine) BeginAttempt(limit.Grant, []retry.Fingerprint) {}
func (noQuarantine) EndAttempt(limit.Grant, bool)                  {}
func (noQuarantine) ReportCrash(limit.Grant)                       {}
