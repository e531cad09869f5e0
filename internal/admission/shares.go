package admission

import (
	"cmp"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// urgencyFloor is the share of the capacity that each urgency keeps from the more urgent
// ones, if it demands as much.
const urgencyFloor = 0.1

// Share is how a request relates to the share of its claimant.
type Share uint8

// The relations.
const (
	// WithinShare is that of all requests of a claimant that demands no more than its
	// share.
	WithinShare Share = iota
	// PartOfShare is that of requests within the share of a claimant that demands more.
	PartOfShare
	// BeyondShare is that of its other requests.
	BeyondShare
)

var shareNames = [...]string{"within", "part", "beyond"}

// String returns the name of the relation in logs and metrics.
func (s Share) String() string { return shareNames[s] }

// DrawShare returns the relation of a request by a random number below 1 and the part of
// its claimant's demand that is within its share.
func DrawShare(part, random float64) Share {
	switch {
	case part >= 1:
		return WithinShare
	case random < part:
		return PartOfShare
	default:
		return BeyondShare
	}
}

// TenantID stands for the name of a tenant in demand. Two tenants of one id have one
// share.
type TenantID uint32

// OtherTenants stands for all tenants that are not named.
const OtherTenants TenantID = 0

// NewTenantID returns the id of a name, which is the same at all daemons.
func NewTenantID(name string) TenantID { return TenantID(max(1, uint32(shard.Hash(name)))) }

// Claimant is a tenant's requests of one urgency.
type Claimant struct {
	Urgency int
	Tenant  TenantID
}

// TenantRate is the rate of new work of a claimant, in seconds of a group per second.
type TenantRate struct {
	Claimant
	Rate float64
	// Tenants is the number of tenants that the entry of OtherTenants stands for.
	Tenants int
}

// weight returns the number of tenants that the entry stands for.
func (r *TenantRate) weight() float64 {
	if r.Tenant == OtherTenants {
		return float64(max(1, r.Tenants))
	}
	return 1
}

// ShareOut returns which part of the demand of each claimant is within its share of the
// capacity, a number of groups. Load: clients request more work of a model than its
// groups can do, and one tenant or less urgent work takes the most. The more urgent are
// served first, but each urgency keeps a floor. Within an urgency shares are max-min
// fair: no tenant gets more than another one that wants more. What a tenant or an
// urgency leaves is shared by the others. Everything is within while there is enough.
func ShareOut(demand []TenantRate, capacity float64) map[Claimant]float64 {
	within := make(map[Claimant]float64, len(demand))
	byUrgency, total := map[int][]TenantRate{}, map[int]float64{}
	sum := 0.0
	for _, d := range demand {
		within[d.Claimant] = 1
		byUrgency[d.Urgency] = append(byUrgency[d.Urgency], d)
		total[d.Urgency] += d.Rate
		sum += d.Rate
	}
	if sum <= capacity {
		return within
	}
	urgencies, floors := make([]int, 0, len(total)), 0.0
	for u, rate := range total {
		urgencies = append(urgencies, u)
		floors += min(rate, urgencyFloor*capacity)
	}
	slices.Sort(urgencies)
	left := capacity
	for _, u := range urgencies {
		floors -= min(total[u], urgencyFloor*capacity)
		given := min(total[u], max(0, left-floors))
		left -= given
		level := fairLevel(byUrgency[u], given)
		for _, d := range byUrgency[u] {
			if d.Rate > 0 {
				within[d.Claimant] = min(1, level*d.weight()/d.Rate)
			}
		}
	}
	return within
}

// fairLevel returns the rate up to which each tenant is served, so that the sum is the
// given one.
func fairLevel(list []TenantRate, given float64) float64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b TenantRate) int { return cmp.Compare(a.Rate/a.weight(), b.Rate/b.weight()) })
	tenants := 0.0
	for i := range sorted {
		tenants += sorted[i].weight()
	}
	level := 0.0
	for i := range sorted {
		d := &sorted[i]
		level = given / tenants
		if d.Rate/d.weight() > level {
			return level
		}
		level = d.Rate / d.weight()
		given -= d.Rate
		tenants -= d.weight()
	}
	return level
}
