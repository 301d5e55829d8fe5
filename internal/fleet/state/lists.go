package state

// PublishedList is the latest list that a task's owner has published to all controllers.
type PublishedList struct {
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"` // increases across all lists
	Data    []byte `msgpack:"Data"`
}

// publishList is the command by which the owner of one of a task's shards publishes a list under the task's name.
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
		return reject(ErrLimit, "the list has %d bytes, the limit is %d", len(p.data), maxListBytes)
	case p.fence < last.Fence:
		return reject(ErrFenced, "list %q was already published with fencing token %d, %d is lower", p.task, last.Fence, p.fence)
	}
	m.Lists[p.task] = PublishedList{Fence: p.fence, Version: m.AppliedCommands, Data: p.data}
	return nil
}
