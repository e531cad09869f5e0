package grant

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// domainMap has the failure domain of each daemon that joined.
type domainMap map[string]string

// domains reads the daemons' failure domains. Where all share one, each daemon
// counts as a domain of its own: it can still fail by itself.
func (h *Home) domains() domainMap {
	m := make(domainMap)
	if h.opt.Daemons == nil {
		return m
	}
	first, several := "", false
	for i, d := range h.opt.Daemons.Daemons() {
		m[d.ID] = d.FailureDomain
		if i == 0 {
			first = d.FailureDomain
		}
		several = several || d.FailureDomain != first
	}
	if !several {
		return domainMap{}
	}
	return m
}

// of returns a daemon's domain; its own id if none is known.
func (m domainMap) of(id string) string {
	if d, ok := m[id]; ok && d != "" {
		return d
	}
	return id
}

// peers lists the live daemons, and those that joined but are not live.
func (h *Home) peers() (live, gone []limit.Peer) {
	domains := h.domains()
	ids := h.opt.Members.Live()
	for _, id := range ids {
		live = append(live, limit.Peer{ID: id, Domain: domains.of(id)})
	}
	if h.opt.Daemons == nil {
		return live, nil
	}
	for _, d := range h.opt.Daemons.Daemons() {
		if !slices.Contains(ids, d.ID) {
			gone = append(gone, limit.Peer{ID: d.ID, Domain: domains.of(d.ID)})
		}
	}
	return live, gone
}
