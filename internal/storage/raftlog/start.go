package raftlog

import "maps"

// Start is a start of a voter process. Starts are numbered on the voter's disk, and each has its own number. A voter that
// presents a number seen before, or a lower one, runs on an older copy of its disk.
type Start struct {
	Boot        uint64 // number of the start
	Incarnation uint64 // differs between starts from two copies of a disk
}

// OlderThan reports whether a known start of the same voter supersedes this one: it came after this start, or has the same
// number on another copy of the disk.
func (s Start) OlderThan(known Start) bool {
	return s.Boot < known.Boot || s.Boot == known.Boot && s.Incarnation != known.Incarnation
}

// Boot returns the number of this start of the voter.
func (l *Log) Boot() uint64 { return l.boot }

// PeerStarts returns the latest start of each other voter that was met.
func (l *Log) PeerStarts() map[uint64]Start { return maps.Clone(l.peerStarts) }

// ForgetPeers drops the starts of peers that are no longer voters; they remain in the file until it is compacted.
func (l *Log) ForgetPeers(gone func(voter uint64) bool) {
	maps.DeleteFunc(l.peerStarts, func(voter uint64, _ Start) bool { return gone(voter) })
}

// RecordPeer records and syncs that another voter was met at a start.
func (l *Log) RecordPeer(voter uint64, start Start) error {
	l.peerStarts[voter] = start
	return l.appendSynced(appendPeerStart(nil, voter, start))
}
