package wire

// CrashNews is what a daemon tells others of engines that ended under requests. It is
// a datagram: it may be lost, doubled, delayed or reordered. Times are ages in
// microseconds at the time of sending. The order of the fields is the encoding.
type CrashNews struct {
	Sender      string
	Exposures   []CrashExposure
	Answers     []uint64
	Quarantines []Quarantine
	// Hints are fingerprints about which the arbiter is asked.
	Hints []uint64
}

// CrashExposure is an attempt that ended with an incarnation of its engine before it
// had an answer.
type CrashExposure struct {
	Engine  string
	StartMS int64
	// Request is the fingerprint of the request.
	Request   uint64
	SentAgeUS int64
	EndAgeUS  int64
	// Parts are the fingerprints of the shared parts of its prompt.
	Parts []uint64
	// Announced is set if the engine had announced that it leaves.
	Announced bool
}

// Quarantine is the fingerprint of a request that is not sent any more, for
// RemainingUS from the time of sending on.
type Quarantine struct {
	Fingerprint    uint64
	Crashes        []CrashedEngine
	LastCrashAgeUS int64
	RemainingUS    int64
	// Rivals are the fingerprints of parts that may have caused the crashes instead.
	Rivals []uint64
}

// CrashedEngine is an incarnation of an engine that has ended, by its start time in
// Unix milliseconds.
type CrashedEngine struct {
	Engine  string
	StartMS int64
}

// Items returns the number of items in the news.
func (n *CrashNews) Items() int {
	return len(n.Exposures) + len(n.Answers) + len(n.Quarantines) + len(n.Hints)
}

// Split divides the items in two halves.
func (n *CrashNews) Split() (first, second CrashNews) {
	e, a, q, h := len(n.Exposures)/2, len(n.Answers)/2, len(n.Quarantines)/2, len(n.Hints)/2
	if n.Items() > 1 && e+a+q+h == 0 {
		// At most one of each kind.
		first, second = CrashNews{Sender: n.Sender, Exposures: n.Exposures}, *n
		second.Exposures = nil
		if len(n.Exposures) == 0 {
			first.Answers, second.Answers = n.Answers, nil
		}
		if first.Items() == 0 {
			first.Quarantines, second.Quarantines = n.Quarantines, nil
		}
		return first, second
	}
	return CrashNews{n.Sender, n.Exposures[:e], n.Answers[:a], n.Quarantines[:q], n.Hints[:h]},
		CrashNews{n.Sender, n.Exposures[e:], n.Answers[a:], n.Quarantines[q:], n.Hints[h:]}
}

// crashNewsV1 and crashExposureV1 are the news of the release before.
type crashNewsV1 struct {
	Sender      string
	Exposures   []crashExposureV1
	Answers     []uint64
	Quarantines []Quarantine
}

type crashExposureV1 struct {
	Engine    string
	StartMS   int64
	Request   uint64
	SentAgeUS int64
	EndAgeUS  int64
	Parts     []uint64
}

// upgrade returns the news in the layout of this release.
func (n *crashNewsV1) upgrade() *CrashNews {
	out := &CrashNews{Sender: n.Sender, Answers: n.Answers, Quarantines: n.Quarantines}
	for _, e := range n.Exposures {
		out.Exposures = append(out.Exposures, CrashExposure{Engine: e.Engine, StartMS: e.StartMS, Request: e.Request, SentAgeUS: e.SentAgeUS, EndAgeUS: e.EndAgeUS, Parts: e.Parts})
	}
	return out
}

// EncodeCrashNews encodes news as a datagram.
func EncodeCrashNews(n *CrashNews) ([]byte, error) { return encodeDatagram(crashDatagram, n) }
