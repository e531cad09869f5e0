package engine

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// memberReportTimeout bounds a leader's request for the report of a member in
// another process.
const memberReportTimeout = 500 * time.Millisecond

// monitorMembers checks the members of a leader's group periodically until its
// session ends.
func (v *vm) monitorMembers(s *session, fencingToken uint64, members []string) {
	t := time.NewTicker(v.opts.Timing.MemberCheckInterval)
	defer t.Stop()
	for {
		v.updateMissingMember(s, v.findMissingMember(fencingToken, members))
		select {
		case <-t.C:
		case <-s.ended:
			return
		}
	}
}

// updateMissingMember journals that the member at addr became missing, or with an
// empty addr that all members serve again. It applies the missing-member policy.
func (v *vm) updateMissingMember(s *session, addr string) {
	if !s.setMemberMissing(addr != "") {
		return
	}
	if addr == "" {
		v.recordEvent(journal.MemberRestored, "")
		return
	}
	v.recordEvent(journal.MemberMissing, addr)
	if v.opts.OnMissingMember == ResetStreams {
		v.resetStreams(s)
	}
}

// resetStreams ends session s, which resets its streams, and starts a new session
// with a cold limiter.
func (v *vm) resetStreams(s *session) {
	v.mu.Lock()
	if v.session == s {
		v.session = newSession(v)
		v.session.setMemberMissing(true)
		go v.monitorMembers(v.session, v.report.Fence, v.members[1:])
	}
	v.mu.Unlock()
	s.end()
}

// findMissingMember returns the address of the first member that doesn't serve the
// group, or "".
func (v *vm) findMissingMember(fencingToken uint64, members []string) string {
	for _, addr := range members {
		if !v.memberServes(addr, fencingToken) {
			return addr
		}
	}
	return ""
}

func (v *vm) memberServes(addr string, fencingToken uint64) bool {
	if member := v.localVM(addr); member != nil {
		return member.servesGroup(fencingToken)
	}
	r, err := requestReport(addr)
	return err == nil && r.Fence == fencingToken && r.State == target.EngineReady
}

// localMemberMissing reports whether a member of the same process doesn't serve the
// group. It needs no request to other processes, so it can be called at the start
// of each run.
func (v *vm) localMemberMissing(fencingToken uint64, members []string) bool {
	for _, addr := range members {
		if member := v.localVM(addr); member != nil && !member.servesGroup(fencingToken) {
			return true
		}
	}
	return false
}

// requestReport gets the report of the VM at addr.
func requestReport(addr string) (target.Report, error) {
	var r target.Report
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/v1/report", memberReportTimeout)
	if err != nil {
		return r, err
	}
	if status != fasthttp.StatusOK {
		return r, eris.Errorf("get report of member %s: status %d", addr, status)
	}
	return r, json.Unmarshal(body, &r)
}
