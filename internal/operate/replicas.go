package operate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// peerCallTimeout bounds the requests to other daemons for a status.
	peerCallTimeout = time.Second
	// maxParallelCalls bounds the requests for replicas that are sent in parallel.
	maxParallelCalls = 8
)

// Handlers returns the handlers of requests from other daemons, for the peer
// server.
func (s *Service) Handlers() wire.Handlers {
	return wire.Handlers{wire.TypeReplicasRequest: s.handleReplicasRequest}
}

func (s *Service) handleReplicasRequest(_ context.Context, _ string, body []byte) (wire.Message, error) {
	var req wire.ReplicasRequest
	if err := wire.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	return &wire.ReplicasResponse{Replicas: s.opts.Replicas(req.Pool)}, nil
}

// fillReplicas fills in the replicas of the pools. It requests them from each
// pool's home, because only the home monitors the pool's VMs. If a home does not
// respond, its pools have no replicas.
func (s *Service) fillReplicas(ctx context.Context, pools []Pool) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i := range pools {
		g.Go(func() error {
			for _, r := range s.fetchReplicas(ctx, pools[i].Home, pools[i].Name) {
				pools[i].Replicas = append(pools[i].Replicas, replicaOf(r))
			}
			return nil
		})
	}
	_ = g.Wait()
}

// fetchReplicas returns the pool's replicas as known to its home, or nil if the
// home does not respond.
func (s *Service) fetchReplicas(ctx context.Context, home, pool string) []replica.Replica {
	if home == s.opts.Self || s.opts.Call == nil {
		return s.opts.Replicas(pool)
	}
	var resp wire.ReplicasResponse
	if err := s.opts.Call(ctx, home, &wire.ReplicasRequest{Pool: pool}, &resp); err != nil {
		return nil
	}
	return resp.Replicas
}
