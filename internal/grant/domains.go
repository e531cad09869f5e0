package grant

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// domainMap maps each daemon that has joined to its failure domain.
type domainMap map[string]string

// domains returns the daemons' failure domains. If all daemons are in one domain,
// each counts as its own, because daemons still fail independently.
func (h *Home) domains() domainMap {
	m := make(domainMap)
	if h.opt.Daemons == nil {
		return m
	}
	first, differ := "", false
	for i, d := range h.opt.Daemons.Daemons() {
		m[d.ID] = d.FailureDomain
		if i == 0 {
			first = d.FailureDomain
		}
		differ = differ || d.FailureDomain != first
	}
	if !differ {
		return domainMap{}
	}
	return m
}

// get returns a daemon's failure domain, or its id if the domain is unknown.
func (m domainMap) get(id string) string {
	if d, ok := m[id]; ok && d != "" {
		return d
	}
	return id
}

// peers lists the live daemons, and those that have joined but are not live.
func (h *Home) peers() (live, unreachable []limit.Peer) {
	domains := h.domains()
	ids := h.opt.Members.Live()
	for _, id := range ids {
		live = append(live, limit.Peer{ID: id, Domain: domains.get(id)})
	}
	if h.opt.Daemons == nil {
		return live, nil
	}
	for _, d := range h.opt.Daemons.Daemons() {
		if !slices.Contains(ids, d.ID) {
			unreachable = append(unreachable, limit.Peer{ID: d.ID, Domain: domains.get(d.ID)})
		}
	}
	return live, unreachable
}
