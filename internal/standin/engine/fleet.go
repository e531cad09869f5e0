package engine

import (
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// Fleet is the engines of one process with their control server.
type Fleet = machines.Fleet[Faults]

// FaultRequest selects engines and breaks them.
type FaultRequest = machines.FaultRequest[Faults]

// New binds all VMs and the control server and starts to serve.
func New(o Options) (*Fleet, error) {
	o = o.withDefaults()
	j := journal.New()
	byAddr := make(map[string]*vm, len(o.VMs)) // complete before any VM serves
	var ms []machines.Machine[Faults]
	for _, info := range o.VMs {
		v, err := newVM(info, o, j, func(addr string) *vm { return byAddr[addr] })
		if err != nil {
			machines.StopAll(ms)
			return nil, err
		}
		byAddr[v.info.Addr] = v
		ms = append(ms, v)
	}
	return machines.New(o.Control, j, ms)
}
