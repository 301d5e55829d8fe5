package raftlog

import "maps"

// Start is one start of a voter. Starts are numbered on the voter's disk, and no two have the same number. A voter that
// comes with a number that was met already, or with a lower one, has an older copy of its disk.
type Start struct {
	Boot        uint64 // the number of the start
	Incarnation uint64 // differs between starts from two copies of a disk
}

// OlderThan reports whether another start of the same voter came after this one, or beside it from a copy of the disk.
func (s Start) OlderThan(met Start) bool {
	return s.Boot < met.Boot || s.Boot == met.Boot && s.Incarnation != met.Incarnation
}

// Boot is the number of this start of the voter.
func (l *Log) Boot() uint64 { return l.boot }

// PeerStarts gives the latest starts of the other voters that were met.
func (l *Log) PeerStarts() map[uint64]Start { return maps.Clone(l.peerStarts) }

// ForgetPeers drops the starts of voters that are none any more; they leave the file when it is compacted.
func (l *Log) ForgetPeers(gone func(voter uint64) bool) {
	maps.DeleteFunc(l.peerStarts, func(voter uint64, _ Start) bool { return gone(voter) })
}

// RecordPeer keeps, synced, that another voter was met at a start.
func (l *Log) RecordPeer(voter uint64, start Start) error {
	l.peerStarts[voter] = start
	return l.appendSynced(appendPeerStart(nil, voter, start))
}
