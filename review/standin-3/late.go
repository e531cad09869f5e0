package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// domains and perDomain are those of the sheet: 54 engines in domains of 9.
	domains, perDomain = 6, 9
	// lateShare of the orders get no answer and are carried out late, in windows of
	// lateFor with pauses of latePause.
	lateShare = 0.5
	lateFor   = 5500 * time.Millisecond
	latePause = 500 * time.Millisecond
	// releaseAtOnce engines that are members of groups are replaced at a time, each
	// memberGap. The new ones start first; the old ones serve for memberDrain.
	releaseAtOnce = 2
	memberGap     = 1500 * time.Millisecond
	memberDrain   = 2500 * time.Millisecond
	// lateTime is how long that lasts.
	lateTime = 90 * time.Second
)

// runLate lets engines leave orders unanswered and carry them out late, while others are
// replaced.
func runLate(b *bed, trouble bool) (int, error) {
	f := newFleet(b)
	f.fenceLate = os.Getenv("FENCE_LATE") == "1"
	defer f.close()
	for i := range domains * perDomain {
		f.start(fmt.Sprintf("i-%04d", i), fmt.Sprintf("d%d", i/perDomain))
	}
	b.store.PublishConfig(1, apiKey)
	if err := b.startDaemons(3); err != nil {
		return couldNot, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.watchHeads(ctx.Done())
	answers := &counts{}
	var clients sync.WaitGroup
	for i, d := range b.daemons {
		for _, model := range []string{site.LargeModel, site.SmallModel} {
			clients.Go(func() { sendStreams(ctx, d, fmt.Sprintf("client-%d-%s", i, model), model, answers) })
		}
	}
	for end := time.Now().Add(20 * time.Second); answers.ok.Load() < 20; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return couldNot, fmt.Errorf("no group serves: %s", answers)
		}
	}
	b.note("groups serve: %s", answers)
	began := time.Now()
	lastRelease, next := began, domains*perDomain
	for time.Since(began) < lateTime {
		time.Sleep(50 * time.Millisecond)
		late := trouble && time.Since(began)%(lateFor+latePause) < lateFor
		f.mu.Lock()
		f.lateShare = 0
		if late {
			f.lateShare = lateShare
		}
		f.mu.Unlock()
		if time.Since(lastRelease) >= memberGap {
			lastRelease = time.Now()
			next = f.replaceSome(next)
		}
	}
	cancel()
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	b.note("%d joins, %d of them broke TWO; answers %s", f.joins, len(f.broken), answers)
	for _, line := range f.broken {
		b.note("%s", line)
	}
	if len(f.broken) > 0 {
		return broken, nil
	}
	return held, nil
}

// replaceSome replaces releaseAtOnce engines that are members of groups by new ones, which
// are numbered from next on. It returns the next number.
func (f *fleet) replaceSome(next int) int {
	f.mu.Lock()
	var joined []*member
	for _, m := range f.members {
		if m.alive && !m.draining && m.group != "" {
			joined = append(joined, m)
		}
	}
	slices.SortFunc(joined, func(a, b *member) int { return strings.Compare(a.id, b.id) })
	f.rng.Shuffle(len(joined), func(i, j int) { joined[i], joined[j] = joined[j], joined[i] })
	joined = joined[:min(releaseAtOnce, len(joined))]
	f.mu.Unlock()
	for _, old := range joined {
		f.start(fmt.Sprintf("i-%04d", next), old.domain)
		next++
		f.mu.Lock()
		old.drain(memberDrain)
		f.mu.Unlock()
	}
	return next
}

// sendStreams sends some requests a second until ctx ends.
func sendStreams(ctx context.Context, d *daemon, name, model string, answers *counts) {
	c := &http.Client{Timeout: 6 * time.Second}
	for k := 0; ctx.Err() == nil; k++ {
		resp, _ := site.Send(ctx, c, d.frontAddr(), site.Request{ID: fmt.Sprintf("%s-%d", name, k), Method: http.MethodPost, Path: site.StreamPath, Model: model, APIKey: apiKey})
		if ctx.Err() == nil {
			answers.add(resp.Status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
