package engine

import (
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// Fleet is the engine VMs of one process with their control server.
type Fleet = machines.Fleet[Faults]

// FaultRequest selects engine VMs and injects faults into them.
type FaultRequest = machines.FaultRequest[Faults]

// New starts to serve all VMs and the control server.
func New(o Options) (*Fleet, error) {
	o = o.withDefaults()
	j := journal.New()
	byAddr := make(map[string]*vm, len(o.VMs)) // not modified once VMs serve, so it needs no lock
	var vms []machines.Machine[Faults]
	for _, info := range o.VMs {
		v, err := newVM(info, o, j, func(addr string) *vm { return byAddr[addr] })
		if err != nil {
			machines.StopAll(vms)
			return nil, err
		}
		byAddr[v.info.Addr] = v
		vms = append(vms, v)
	}
	return machines.New(o.Control, j, vms)
}
