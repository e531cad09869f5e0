package engine

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// memberTimeout bounds a leader's question to a member of another process.
const memberTimeout = 500 * time.Millisecond

// checkMembers watches the members of a leader's group until its session ends.
func (v *vm) checkMembers(s *session, fence uint64, members []string) {
	t := time.NewTicker(v.opts.Timing.MemberCheckInterval)
	defer t.Stop()
	for {
		v.setMissing(s, v.missingMember(fence, members))
		select {
		case <-t.C:
		case <-s.over:
			return
		}
	}
}

func (v *vm) setMissing(s *session, addr string) {
	if !s.setMissing(addr != "") {
		return
	}
	if addr == "" {
		v.note(journal.MemberRestored, "")
		return
	}
	v.note(journal.MemberMissing, addr)
	if v.opts.OnMissingMember == ResetStreams {
		v.cutStreams(s)
	}
}

// cutStreams resets what runs in s and goes on, cold, with a new session.
func (v *vm) cutStreams(s *session) {
	v.mu.Lock()
	if v.session == s {
		v.session = newSession(v)
		v.session.setMissing(true)
		go v.checkMembers(v.session, v.report.Fence, v.members[1:])
	}
	v.mu.Unlock()
	s.end()
}

// missingMember returns the address of a member that does not serve, or "".
func (v *vm) missingMember(fence uint64, members []string) string {
	for _, addr := range members {
		if !v.memberServes(addr, fence) {
			return addr
		}
	}
	return ""
}

func (v *vm) memberServes(addr string, fence uint64) bool {
	if p := v.peers(addr); p != nil {
		return p.serves(fence)
	}
	r, err := askReport(addr)
	return err == nil && r.Fence == fence && r.State == target.EngineReady
}

// localMemberMissing looks at members of the same process only, at no cost: the
// journal's word on a request that starts now.
func (v *vm) localMemberMissing(fence uint64, members []string) bool {
	for _, addr := range members {
		if p := v.peers(addr); p != nil && !p.serves(fence) {
			return true
		}
	}
	return false
}

func askReport(addr string) (target.Report, error) {
	var r target.Report
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/v1/report", memberTimeout)
	if err != nil {
		return r, err
	}
	if status != fasthttp.StatusOK {
		return r, eris.Errorf("%s answered %d", addr, status)
	}
	return r, json.Unmarshal(body, &r)
}
