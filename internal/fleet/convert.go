package fleet

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

func fromReport(r target.Report) group.Report {
	return group.Report{
		BootID: r.BootID, State: fromState(r.State), Group: r.Group, Fence: r.Fence, Rank: r.Rank,
		Model: r.Model, Version: r.Version, Inflight: r.Inflight, Queued: r.Queued,
		StepTime: time.Duration(r.StepMs * float64(time.Millisecond)),
		Cached:   r.Cached, Draining: r.Draining,
	}
}

func fromState(s target.EngineState) group.EngineState {
	switch s {
	case target.EngineReady:
		return group.Ready
	case target.EngineLoading:
		return group.Loading
	default:
		return group.Free
	}
}

func toOrder(o group.Order) target.Order {
	kind := target.OrderUnload
	if o.Load {
		kind = target.OrderLoad
	}
	return target.Order{
		ID: ids.New(), Kind: kind, Fence: o.Fence, Model: o.Model, Version: o.Version,
		Rank: o.Rank, Members: o.Members,
	}
}
