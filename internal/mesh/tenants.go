package mesh

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// tenantSumCycles is the number of cycles of sums in one of which demand by tenant is
// sent, so that each recipient gets it once in admission.TenantReportInterval.
const tenantSumCycles = int(admission.TenantReportInterval / collectorInterval)

// sendTenantDemand sends this daemon's demand by tenant to the recipients of its loads
// when it is due, and the sums to the recipients of sums. Nothing is sent while no model
// lacks capacity.
func (m *Mesh) sendTenantDemand(addrs map[string]string, round *reportRound) {
	if len(round.full) > 0 && time.Since(m.lastTenants) >= admission.TenantReportInterval {
		m.lastTenants = time.Now()
		m.sendTenants(addrs, round.full, m.opts.Source.TenantDemand())
	}
	if len(round.sums) > 0 {
		if m.sumRounds/sumSlices%tenantSumCycles == 0 {
			d := m.opts.Source.TotalTenantDemand()
			d.Sums = true
			m.sendTenants(addrs, round.sums, d)
		}
		m.sumRounds++
	}
}

func (m *Mesh) sendTenants(addrs map[string]string, names []string, d wire.TenantDemand) {
	if len(d.Models) == 0 {
		return
	}
	d.Sender = m.opts.Node
	b, err := wire.EncodeTenantDemand(&d)
	m.writeChecked(b, err, addrs, names)
}
