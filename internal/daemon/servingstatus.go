package daemon

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/gossip"
	"github.com/ragwortquay/ragwortquay/internal/view"
)

// servingStatus tells the other components whether this daemon may serve requests
// and which capacity its side of a network partition may use.
type servingStatus struct {
	control   *control.Manager
	members   *gossip.Manager
	view      *view.View
	lifecycle *lifecycle
}

// MayServe returns nil if this daemon may serve requests, and otherwise the error
// for the caller.
func (s *servingStatus) MayServe() error {
	if err := s.lifecycle.checkServing(); err != nil {
		return err
	}
	st := s.control.ServingStatus()
	if st.MayServe() {
		return nil
	}
	return fault.Refuse(fault.Isolated, "send the request to another daemon", "%s", st.Reason)
}

// Ready returns nil while the load balancer should send requests to this daemon.
func (s *servingStatus) Ready() error {
	if err := s.lifecycle.checkReady(); err != nil {
		return err
	}
	return s.MayServe()
}

// MayUseCold reports whether this side of a partition may place work on cold
// targets.
func (s *servingStatus) MayUseCold() bool { return s.control.ServingStatus().MayUseCold }

// VisibleDaemons returns the number of joined daemons that are live according to
// this one, and the number of all joined daemons.
func (s *servingStatus) VisibleDaemons() (visible, total int) {
	live := s.members.Live()
	joined := s.view.Daemons()
	for _, j := range joined {
		if slices.Contains(live, j.ID) {
			visible++
		}
	}
	return visible, len(joined)
}
