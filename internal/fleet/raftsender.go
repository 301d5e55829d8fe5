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

// raftSender sends raft messages from this voter to another one, and reconnects when the connection fails. It drops messages
// that the other voter doesn't accept in time, because raft sends them again. Its run method has a goroutine of its own.
type raftSender struct {
	options     *Options
	address     string
	queue       chan *raftpb.Message
	hello       hello
	onStaleDisk func(reason string) // called when the other voter has recorded a later start of this one
}

// raftSendQueue is the number of messages that may wait for a voter.
const raftSendQueue = 256

// errPeerClosed is returned when the other side has closed the connection.
var errPeerClosed = errors.New("ended")

// enqueue queues a message, or drops it if the queue is full. It never blocks, so a slow voter delays no other.
func (s *raftSender) enqueue(message *raftpb.Message) { trySend(s.queue, message) }

// run sends messages until ctx ends. After a failure it waits for two heartbeat intervals and drops the messages that were
// queued until then.
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

// sendOverConnection opens a connection and sends messages over it until it fails.
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

// waitForClose returns once the other side, which sends nothing on this connection, has closed it.
func waitForClose(conn net.Conn) {
	_, _, _ = readFrame(conn) // whatever the result, the connection is no longer used
}
