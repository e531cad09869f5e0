package wire

// LoadReport is what one daemon tells the others several times a second. It
// travels as a datagram and may be lost or late.
type LoadReport struct {
	// From is the sender's name, Boot the name of its process.
	From string `msgpack:"f"`
	Boot string `msgpack:"b"`
	// EveryMS is the sender's interval between reports.
	EveryMS int64 `msgpack:"e"`
	// SentNS is the sender's boot time, EchoNS that of the receiver's last report.
	SentNS int64 `msgpack:"s"`
	EchoNS int64 `msgpack:"r"`
	// Version is the configuration in force; ConfirmedNS is its age as the
	// newest one, or negative if unknown.
	Version     int64 `msgpack:"v"`
	ConfirmedNS int64 `msgpack:"c"`
	// Serving tells that the sender has answered a request.
	Serving  bool         `msgpack:"a"`
	Loads    []EngineLoad `msgpack:"l"`
	Suspects []Suspect    `msgpack:"u"`
	Crashes  []Crashed    `msgpack:"x"`
}

// EngineLoad is the sender's work under way at an engine.
type EngineLoad struct {
	_msgpack struct{} `msgpack:",as_array"`
	Engine   string
	InFlight int
	// Pending are the prompt tokens without a first event.
	Pending int
}

// Suspect is an engine that stands still, with its group.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"`
	Engine   string
	Group    string
	Epoch    int64
}

// Crashed is a request, by its fingerprint, that was under way at an engine's crash.
type Crashed struct {
	_msgpack struct{} `msgpack:",as_array"`
	Print    uint64
	Engine   string
}

// EncodeLoadReport encodes a report.
func EncodeLoadReport(r *LoadReport) ([]byte, error) { return Marshal(r) }

// DecodeLoadReport decodes a report.
func DecodeLoadReport(b []byte) (*LoadReport, error) {
	r := &LoadReport{}
	return r, Unmarshal(b, r)
}
