package state

import (
	"fmt"
)

// PublishedList is the latest list that an owner gave to all.
type PublishedList struct {
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// publishList takes a list from the owner of its slice. What comes under a lower fence, or is no later, changes nothing.
func (l *Machine) publishList(c Command) error {
	last := l.Lists[c.Subject]
	switch {
	case !l.owns(c.Controller, c.Subject, c.Shard, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Subject, c.Controller.Name, c.Number)
	case len(c.Data) > maxListBytes:
		return fmt.Errorf("a list of %d bytes; %d at most", len(c.Data), maxListBytes)
	case c.Number < last.Fence:
		return fmt.Errorf("%q was published under fence %d, not %d", c.Subject, last.Fence, c.Number)
	}
	l.Lists[c.Subject] = PublishedList{Fence: c.Number, Version: l.AppliedCommands, Data: c.Data}
	return nil
}
