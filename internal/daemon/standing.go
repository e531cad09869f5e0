package daemon

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/gossip"
	"github.com/ragwortquay/ragwortquay/internal/view"
)

// standing answers, for the parts that need it, whether this daemon may serve
// and what its side of a partition may use.
type standing struct {
	control *control.Manager
	members *gossip.Manager
	view    *view.View
	life    *life
}

// MayServe returns nil, or the refusal for callers.
func (s *standing) MayServe() error {
	if err := s.life.serving(); err != nil {
		return err
	}
	st := s.control.ServingStatus()
	if st.MayServe() {
		return nil
	}
	return fault.Refuse(fault.Isolated, "send the request to another daemon", "%s", st.Reason)
}

// Ready returns nil while the balancer should send work here.
func (s *standing) Ready() error {
	if err := s.life.ready(); err != nil {
		return err
	}
	return s.MayServe()
}

// MayUseCold reports whether this side may place work on cold targets.
func (s *standing) MayUseCold() bool { return s.control.ServingStatus().MayUseCold }

// VisibleShare counts the joined daemons that this one sees, and all of them.
func (s *standing) VisibleShare() (seen, total int) {
	live := s.members.Live()
	joined := s.view.Daemons()
	for _, j := range joined {
		if slices.Contains(live, j.ID) {
			seen++
		}
	}
	return seen, len(joined)
}
