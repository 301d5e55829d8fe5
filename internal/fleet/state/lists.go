package state

// PublishedList is the latest list that the owner of a task published to all controllers.
type PublishedList struct {
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"` // rises over all lists
	Data    []byte `msgpack:"Data"`
}

// publishList publishes a list under the name of a task, by the owner of one of its shards.
type publishList struct {
	shardClaim
	data []byte
}

// publishList rejects a fencing token lower than the last one, so that an earlier owner never overwrites a later one.
func (m *Machine) publishList(p publishList) error {
	last := m.Lists[p.task]
	if err := m.checkOwner(p.shardClaim); err != nil {
		return err
	}
	switch {
	case len(p.data) > maxListBytes:
		return reject(ErrLimit, "a list of %d bytes; %d at most", len(p.data), maxListBytes)
	case p.fence < last.Fence:
		return reject(ErrFenced, "%q was published under fence %d, not %d", p.task, last.Fence, p.fence)
	}
	m.Lists[p.task] = PublishedList{Fence: p.fence, Version: m.AppliedCommands, Data: p.data}
	return nil
}
