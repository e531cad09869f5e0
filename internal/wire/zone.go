package wire

import "slices"

// ZoneNotice says in which zone the sender is. The order of the fields is the encoding.
type ZoneNotice struct {
	// Sender is the name of the sending daemon.
	Sender string
	Zone   string
	// Query is set if the receiver is to answer with its own zone.
	Query bool
}

// EncodeZoneNotice encodes a notice as a datagram.
func EncodeZoneNotice(n *ZoneNotice) ([]byte, error) { return encodeDatagram(zoneDatagram, n) }

// datagramNames are the names of the datagrams' kinds in metrics.
var datagramNames = map[byte]string{
	loadDatagram: "load_report", partDatagram: "record_push", demandDatagram: "demand_report", sumsDatagram: "load_sums",
	leaveDatagram: "leave_notices", crashDatagram: "crash_news", requestDatagram: "record_request",
	headQueryDatagram: "head_query", headStatementDatagram: "head_statement",
	trialRequestDatagram: "trial_request", trialReplyDatagram: "trial_reply", zoneDatagram: "zone_notice",
	lateDatagram: "late_loads", reservationsDatagram: "reservations", tenantsDatagram: "tenant_demand",
	eraPartDatagram: "era_record_push", compactDatagram: "compact_report", identityDatagram: "identity_notice",
	relayDatagram: "relayed_records", partRequestDatagram: "part_request",
}

// unknownDatagram is the name of kinds that are not in datagramNames.
const unknownDatagram = "unknown"

// DatagramKind returns the name of the kind of an encoded datagram.
func DatagramKind(b []byte) string {
	if len(b) > 0 {
		if name, ok := datagramNames[b[0]]; ok {
			return name
		}
	}
	return unknownDatagram
}

// DatagramKinds returns all names that DatagramKind may return.
func DatagramKinds() []string {
	out := []string{unknownDatagram}
	for _, name := range datagramNames {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
