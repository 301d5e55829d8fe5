package gateway

import "copperrock.example/copperrock/internal/discovery"

// addressHolders records which endpoint the process at each address belongs to. A new engine may start at the address of one that
// has gone, and be listed before the list says that the other has gone. Gateway.mu guards it.
type addressHolders map[string]*endpoint

// claim records an endpoint as the holder of its entry's address. If another one holds the address, the one that was listed later
// or whose process started later gets it. superseded is the endpoint without the address, nil if there is none.
func (h addressHolders) claim(e *endpoint, entry discovery.Endpoint) (superseded *endpoint) {
	holder := h[entry.Address]
	switch {
	case holder == nil || holder == e:
	case e.firstListed > holder.firstListed, entry.StartedAt > holder.entry.StartedAt:
		superseded = holder
	default:
		return e
	}
	h[entry.Address] = e
	return superseded
}

// releaseGone forgets the endpoints that an update terminates or no longer lists, so that others may claim their addresses in any
// order within the update. The lock is held.
func (g *Gateway) releaseGone(mode discovery.UpdateMode, engines []discovery.Endpoint, listed map[string]bool) {
	for _, entry := range engines {
		if e := g.endpoints[entry.Name]; e != nil && entry.State == discovery.Terminated {
			g.addressHolders.release(e, e.entry.Address)
		}
	}
	if mode == discovery.Delta {
		return
	}
	for name, e := range g.endpoints {
		if !listed[name] {
			g.addressHolders.release(e, e.entry.Address)
		}
	}
}

// release forgets an endpoint as the holder of an address.
func (h addressHolders) release(e *endpoint, address string) {
	if h[address] == e {
		delete(h, address)
	}
}
