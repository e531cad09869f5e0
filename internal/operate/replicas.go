package operate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// askTimeout bounds the question to a pool's home.
	askTimeout = time.Second
	// parallelAsks is the number of homes that are asked at once.
	parallelAsks = 8
)

// Handlers returns the answers to other daemons' questions, for the peer server.
func (s *Service) Handlers() wire.Handlers {
	return wire.Handlers{wire.TypeReplicasRequest: s.onReplicasAsk}
}

func (s *Service) onReplicasAsk(_ context.Context, _ string, body []byte) (wire.Message, error) {
	var ask wire.ReplicasRequest
	if err := wire.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	return &wire.ReplicasResponse{Replicas: s.opts.Replicas(ask.Pool)}, nil
}

// fillReplicas asks the pools' homes for their replicas, because only a pool's
// home watches its VMs. A home that does not answer leaves its pool without.
func (s *Service) fillReplicas(ctx context.Context, pools []Pool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(parallelAsks)
	for i := range pools {
		g.Go(func() error {
			for _, r := range s.replicas(ctx, pools[i].Home, pools[i].Name) {
				pools[i].Replicas = append(pools[i].Replicas, replicaOf(r))
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (s *Service) replicas(ctx context.Context, home, pool string) []replica.Replica {
	if home == s.opts.Self || s.opts.Call == nil {
		return s.opts.Replicas(pool)
	}
	var answer wire.ReplicasResponse
	if err := s.opts.Call(ctx, home, &wire.ReplicasRequest{Pool: pool}, &answer); err != nil {
		return nil
	}
	return answer.Replicas
}
