package dispatch

import (
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// checkQuarantine refuses a request that has crashed its targets. It marks a
// suspected request as exclusive: a crash then affects no other request and can
// be attributed to this one.
func (d *Dispatcher) checkQuarantine(j *job) error {
	switch d.opts.Quarantine.Verdict(j.fingerprints) {
	case suspect.Refused:
		err := fault.Refuse(fault.Quarantined, "change the request; the same one is refused for a while", "the request crashed the targets that ran it")
		return d.unclaimedRefusal(j.req, err)
	case suspect.Suspected:
		j.exclusive = true
	}
	return nil
}

// targetCrashed probes the target over a new connection. It reports true if the
// target does not answer or its boot id is not the one of the granted incarnation.
func (at *attempt) targetCrashed() bool {
	boot, alive := at.d.opts.Targets.Probe(at.grant.Addr)
	return !alive || !strings.Contains(at.grant.Incarnation, boot)
}

// noQuarantine is a Quarantine that clears every request.
type noQuarantine struct{}

func (noQuarantine) Verdict([]suspect.Fingerprint) suspect.Verdict   { return suspect.Clear }
func (noQuarantine) BeginAttempt(limit.Grant, []suspect.Fingerprint) {}
func (noQuarantine) EndAttempt(limit.Grant, bool)                    {}
func (noQuarantine) ReportCrash(limit.Grant)                         {}
