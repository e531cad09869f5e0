package wire

import (
	"encoding/binary"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// TenantDemand is the demand for models by tenant, at the sender or, in the sums of a
// collector, at all daemons. The order of the fields is the encoding.
type TenantDemand struct {
	Sender string
	// Sums is set if a collector has summed over all daemons.
	Sums bool
	// Models holds the packed models; see AppendModel.
	Models []byte
}

// ModelTenants is the demand for one model.
type ModelTenants struct {
	// Hash is the ModelHash of the model.
	Hash    uint32
	Demands []TenantRate
}

// TenantRate is the demand of a tenant's requests of one urgency, in thousandths of a
// second of a group per second.
type TenantRate struct {
	// Tenant is the hash of the tenant's name, or 0 for Tenants other ones.
	Tenant                 uint32
	Urgency, Rate, Tenants int
}

// maxModelTenants bounds the demands of a model.
const maxModelTenants = 64

// AppendModel adds a model to the packed models: the hash in four bytes, the number of
// demands and, for each, the tenant in four bytes, the urgency, the rate and, for tenant
// 0, the number of tenants, as varints.
func (d *TenantDemand) AppendModel(m *ModelTenants) {
	d.Models = binary.BigEndian.AppendUint32(d.Models, m.Hash)
	list := m.Demands[:min(len(m.Demands), maxModelTenants)]
	d.Models = binary.AppendUvarint(d.Models, uint64(len(list)))
	for _, t := range list {
		d.Models = binary.BigEndian.AppendUint32(d.Models, t.Tenant)
		d.Models = binary.AppendUvarint(d.Models, uint64(max(0, t.Urgency)))
		d.Models = binary.AppendUvarint(d.Models, uint64(max(0, t.Rate)))
		if t.Tenant == 0 {
			d.Models = binary.AppendUvarint(d.Models, uint64(max(0, t.Tenants)))
		}
	}
}

// Unpack returns the packed models.
func (d *TenantDemand) Unpack() ([]ModelTenants, error) {
	var out []ModelTenants
	b, failed := d.Models, false
	hash := func() uint32 {
		if failed = failed || len(b) < 4; failed {
			return 0
		}
		v := binary.BigEndian.Uint32(b)
		b = b[4:]
		return v
	}
	next := func() int {
		v, n := binary.Uvarint(b)
		if failed = failed || n <= 0 || v > maxPackedCount; failed {
			return 0
		}
		b = b[n:]
		return int(v)
	}
	for len(b) > 0 && !failed {
		m := ModelTenants{Hash: hash()}
		count := next()
		failed = failed || count > maxModelTenants
		for i := 0; i < count && !failed; i++ {
			t := TenantRate{Tenant: hash(), Urgency: next(), Rate: next()}
			if t.Tenant == 0 {
				t.Tenants = next()
			}
			m.Demands = append(m.Demands, t)
		}
		out = append(out, m)
	}
	if failed {
		return nil, fault.Invalid("tenant demand", "run one version on all daemons", "%d bytes of packed demand are malformed", len(d.Models))
	}
	return out, nil
}

// EncodeTenantDemand encodes demand by tenant as a datagram.
func EncodeTenantDemand(d *TenantDemand) ([]byte, error) { return encodeDatagram(tenantsDatagram, d) }
