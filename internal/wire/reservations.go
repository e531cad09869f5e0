package wire

import (
	"encoding/binary"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Reservations is the new demand for models and the work reserved for clients that were
// refused, at the sender or, in the sums of a collector, at all daemons. The order of the
// fields is the encoding.
type Reservations struct {
	Sender string
	// Sums is set if a collector has summed over all daemons.
	Sums bool
	// PhaseUS is how much of the sender's current slot had passed at the time of sending,
	// in microseconds.
	PhaseUS int64
	// Models holds the packed models; see AppendModel.
	Models []byte
}

// ModelReservations is the demand and the reserved work of one model. Numbers are in
// thousandths of a second of a group.
type ModelReservations struct {
	// Hash is the ModelHash of the model.
	Hash uint32
	// Demand is the rate of new work by urgency. Reserved is the work by slot, counted
	// from the sender's current one.
	Demand, Reserved []KeyedCount
}

// KeyedCount is a count for an urgency or a slot.
type KeyedCount struct{ Key, Count int }

// maxModelCounts bounds the demand and the slots of a model.
const maxModelCounts = 64

// ModelHash returns the hash that stands for a model of a service. Reservations are
// hints, so a collision between two models is harmless.
func ModelHash(service, model string) uint32 { return EngineHash(service + "/" + model) }

// AppendModel adds a model to the packed models: the hash in four bytes and, for demand
// and reserved work, the number of counts and the counts, all as varints.
func (r *Reservations) AppendModel(m *ModelReservations) {
	r.Models = binary.BigEndian.AppendUint32(r.Models, m.Hash)
	for _, list := range [][]KeyedCount{m.Demand, m.Reserved} {
		list = list[:min(len(list), maxModelCounts)]
		r.Models = binary.AppendUvarint(r.Models, uint64(len(list)))
		for _, c := range list {
			r.Models = binary.AppendUvarint(r.Models, uint64(max(0, c.Key)))
			r.Models = binary.AppendUvarint(r.Models, uint64(max(0, c.Count)))
		}
	}
}

// Unpack returns the packed models.
func (r *Reservations) Unpack() ([]ModelReservations, error) {
	var out []ModelReservations
	b := r.Models
	next := func() (int, bool) {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > maxPackedCount {
			return 0, false
		}
		b = b[n:]
		return int(v), true
	}
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, errPackedModels(len(r.Models))
		}
		m := ModelReservations{Hash: binary.BigEndian.Uint32(b)}
		b = b[4:]
		for _, list := range []*[]KeyedCount{&m.Demand, &m.Reserved} {
			count, ok := next()
			if !ok || count > maxModelCounts {
				return nil, errPackedModels(len(r.Models))
			}
			for range count {
				key, ok1 := next()
				value, ok2 := next()
				if !ok1 || !ok2 {
					return nil, errPackedModels(len(r.Models))
				}
				*list = append(*list, KeyedCount{key, value})
			}
		}
		out = append(out, m)
	}
	return out, nil
}

func errPackedModels(bytes int) error {
	return fault.Invalid("reservations", "run one version on all daemons", "%d bytes of packed models are malformed", bytes)
}

// EncodeReservations encodes reservations as a datagram.
func EncodeReservations(r *Reservations) ([]byte, error) {
	return encodeDatagram(reservationsDatagram, r)
}
