package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a kind of fault.
type Kind string

// The kinds of faults. Faults of links, pauses and store outages end after the fault's
// duration.
const (
	DaemonKill          Kind = "daemon_kill"
	DaemonStop          Kind = "daemon_stop" // SIGTERM, then a restart after the process has ended
	DaemonPause         Kind = "daemon_pause"
	StoreReset          Kind = "store_reset"    // one daemon's connections to the store are reset, new ones refused
	StoreHoldResponses  Kind = "store_noanswer" // requests reach the store, responses are held back
	StoreBlackHole      Kind = "store_silent"   // no data passes between one daemon and the store
	StoreDelay          Kind = "store_delay"
	StoreDown           Kind = "store_down"         // the store is down for all daemons
	StoreDropResponses  Kind = "store_loses"        // appends are carried out, but not acknowledged
	StoreTruncate       Kind = "store_truncate"     // the store deletes the records of all topics, except the newest of each key
	KeyRevoke           Kind = "key_revoke"         // the API key is replaced by the next one
	KeyRevokeUnseen     Kind = "key_revoke_cut"     // as KeyRevoke, while one daemon is cut off from the store
	KeyRevokeBacklog    Kind = "key_revoke_backlog" // as KeyRevoke, after changes beyond one read, while the store is down for all daemons
	EngineCrash         Kind = "engine_crash"
	EngineDrain         Kind = "engine_drain" // the engine drains while a replacement starts, then ends
	EngineReset         Kind = "engine_reset"
	EngineBlackHole     Kind = "engine_silent" // no data passes between the daemons and the engine
	EngineHoldResponses Kind = "engine_hold"   // requests reach the engine, responses are held back
	EngineDelay         Kind = "engine_delay"
	EngineDropResponses Kind = "engine_loses"   // requests are executed, their responses are discarded
	EngineEndless       Kind = "engine_endless" // requests are executed, their responses do not end
	DeadlyBatch         Kind = "deadly_batch"   // requests that end engines, at all daemons at the same moment
)

// weightedKinds are the kinds that a schedule draws from. A kind that is listed twice is
// drawn twice as often.
var weightedKinds = []Kind{
	DaemonKill, DaemonStop, DaemonPause, StoreReset, StoreHoldResponses, StoreBlackHole, StoreDelay, StoreDown, StoreDropResponses,
	StoreTruncate, KeyRevoke, KeyRevokeUnseen, EngineCrash, EngineCrash, EngineDrain, EngineReset, EngineBlackHole, EngineHoldResponses, EngineDelay,
	EngineDropResponses, EngineDropResponses,
}

const (
	// minGap and maxGap bound the time between the starts of two faults of one series.
	// Series are independent, so faults of different series overlap.
	minGap = 100 * time.Millisecond
	maxGap = 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts: from less
	// than the lease time (1.2 s) to more than the bound for revoked keys.
	minFaultDuration = 150 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// seriesCount is the number of independent series of faults of weightedKinds. Each of
	// singleKinds has one more, so that the schedules of seeds that have found faults stay
	// as they were.
	seriesCount = 2
)

// singleKinds are the kinds that have a series of their own, with the latest time of its
// first fault and the bounds of the time between the starts of two. Batches of deadly
// requests follow each other after deadlyBound, within which all daemons learn of the one
// before. The outages of KeyRevokeBacklog are rare, since they hide other faults of the
// store.
var singleKinds = []struct {
	kind                     Kind
	maxFirst, minGap, maxGap time.Duration
}{
	{EngineEndless, maxGap, minGap, maxGap},
	{DeadlyBatch, maxGap, deadlyBound + minGap, deadlyBound + time.Second},
	{KeyRevokeBacklog, 20 * time.Second, 15 * time.Second, 25 * time.Second},
}

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Target selects the daemon or the engine, modulo the number that exist when the
	// fault starts. A third of the engine faults hit engines without a model.
	Target   int
	Duration time.Duration
}

// Schedule returns the faults of a seed, ordered by time.
func Schedule(seed uint64, length time.Duration) []Fault {
	var out []Fault
	for i := range seriesCount + len(singleKinds) {
		rng, kinds, latestFirst, shortest, longest := rand.New(rand.NewPCG(seed, uint64(i))), weightedKinds, maxGap, minGap, maxGap
		if i >= seriesCount {
			single := singleKinds[i-seriesCount]
			kinds, latestFirst, shortest, longest = []Kind{single.kind}, single.maxFirst, single.minGap, single.maxGap
		}
		for at := randomDuration(rng, minGap, latestFirst); at < length; at += randomDuration(rng, shortest, longest) {
			out = append(out, Fault{
				At: at, Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 16), Duration: randomDuration(rng, minFaultDuration, maxFaultDuration),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
