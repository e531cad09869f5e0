package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those of links, pauses and the store end after a while.
const (
	DaemonKill    Kind = "daemon_kill"
	DaemonStop    Kind = "daemon_stop" // SIGTERM, and a start once it has ended
	DaemonPause   Kind = "daemon_pause"
	StoreReset    Kind = "store_reset"    // one daemon's way to the store: refused and reset
	StoreHoldResponses Kind = "store_noanswer" // calls arrive, answers do not
	StoreBlackHole   Kind = "store_silent"
	StoreDelay    Kind = "store_delay"
	StoreDown     Kind = "store_down" // for all daemons
	StoreDropResponses    Kind = "store_loses"
	StoreTruncate Kind = "store_truncate"
	KeyRevoke     Kind = "key_revoke"
	KeyRevokeUnseen  Kind = "key_revoke_cut" // while a daemon does not hear of it
	EngineCrash   Kind = "engine_crash"
	EngineDrain   Kind = "engine_drain"
	EngineReset   Kind = "engine_reset"
	EngineBlackHole  Kind = "engine_silent"
	EngineHoldResponses    Kind = "engine_hold" // requests arrive, answers stand still
	EngineDelay   Kind = "engine_delay"
	EngineDropResponses   Kind = "engine_loses" // requests run, their answers are lost
)

var kinds = []Kind{
	DaemonKill, DaemonStop, DaemonPause, StoreReset, StoreHoldResponses, StoreBlackHole, StoreDelay, StoreDown, StoreDropResponses,
	StoreTruncate, KeyRevoke, KeyRevokeUnseen, EngineCrash, EngineCrash, EngineDrain, EngineReset, EngineBlackHole, EngineHoldResponses, EngineDelay,
	EngineDropResponses, EngineDropResponses,
}

const (
	// leastGap and mostGap bound the time between the starts of two faults of one
	// series; series run beside each other, so faults overlap.
	leastGap = 100 * time.Millisecond
	mostGap  = 1500 * time.Millisecond
	// leastFor and mostFor bound how long a fault lasts: from less than a lease
	// (1.2 s) to more than the bound for revoked keys.
	leastFor = 150 * time.Millisecond
	mostFor  = 4 * time.Second
	// series is the number of series of faults.
	series = 2
)

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Target picks the daemon or the engine, modulo their number then. Faults of
	// engines hit those that serve no models in a third of the cases.
	Target int
	Duration    time.Duration
}

// Schedule returns the faults of a seed, by time.
func Schedule(seed uint64, length time.Duration) []Fault {
	var out []Fault
	for i := range uint64(series) {
		rng := rand.New(rand.NewPCG(seed, i))
		for at := between(rng, leastGap, mostGap); at < length; at += between(rng, leastGap, mostGap) {
			out = append(out, Fault{
				At: at, Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 16), Duration: between(rng, leastFor, mostFor),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
