package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// raftSender sends one voter's messages to another, over a connection that it opens anew when it fails. It drops what the
// other does not take in time: raft sends it again. run is its goroutine.
type raftSender struct {
	options     *Options
	address     string
	queue       chan *raftpb.Message
	hello       hello
	onStaleDisk func(why string) // called when the other knows of a later start of this voter
}

// raftSendQueue is how many messages may wait for a voter.
const raftSendQueue = 256

// errPeerClosed ends a connection that the other side has closed.
var errPeerClosed = errors.New("ended")

// enqueue never blocks: a slow voter delays no other.
func (s *raftSender) enqueue(message *raftpb.Message) { offer(s.queue, message) }

// run sends until ctx ends. After a failure it waits two heartbeats, and drops the messages from before.
func (s *raftSender) run(ctx context.Context) error {
	for {
		err := s.sendOverConnection(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(seconds(2 * s.options.HeartbeatInterval)):
			}
		}
		for len(s.queue) > 0 {
			<-s.queue
		}
	}
}

// sendOverConnection opens a connection and sends over it until it fails.
func (s *raftSender) sendOverConnection(ctx context.Context) error {
	conn, err := dial(ctx, s.options, s.address, s.hello)
	if err != nil {
		if errors.Is(err, errStaleDisk) {
			s.onStaleDisk(err.Error())
		}
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	var reader sync.WaitGroup
	closed := make(chan struct{})
	reader.Go(func() {
		defer close(closed)
		waitForClose(conn)
	})
	defer reader.Wait()
	defer conn.Close()
	for {
		select {
		case <-closed:
			return errPeerClosed
		case message := <-s.queue:
			body, err := proto.Marshal(message)
			if err != nil {
				return err
			}
			if err := writeFrame(conn, s.options.writeTimeout(), frameRaft, body); err != nil {
				return err
			}
		}
	}
}

// waitForClose returns once the other side closes a connection on which it sends nothing.
func waitForClose(conn net.Conn) {
	_, _, _ = readFrame(conn) // whatever it returns, the connection is used no more
}
