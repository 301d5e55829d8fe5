package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// raftSender carries one voter's messages to another. It drops what the other does not take in time: raft sends again.
type raftSender struct {
	options     *Options
	address     string
	queue       chan *raftpb.Message
	hello       hello
	onStaleDisk func(why string)
}

func (o *raftSender) enqueue(m *raftpb.Message) {
	select {
	case o.queue <- m:
	default: // a peer that is slow delays no other
	}
}

func (o *raftSender) run(ctx context.Context) error {
	for {
		if err := o.sendOverConnection(ctx); ctx.Err() != nil {
			return ctx.Err()
		} else if err != nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(seconds(2 * o.options.HeartbeatInterval)):
			}
		}
		for len(o.queue) > 0 { // old by now
			<-o.queue
		}
	}
}

// sendOverConnection is the life of one connection.
func (o *raftSender) sendOverConnection(ctx context.Context) error {
	peer, err := dial(ctx, o.options, o.address, o.hello)
	if err != nil {
		if errors.Is(err, errStaleDisk) {
			o.onStaleDisk(err.Error())
		}
		return err
	}
	defer peer.Close()
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	var reader sync.WaitGroup
	ended := make(chan struct{})
	reader.Go(func() { // nothing comes but the end
		defer close(ended)
		readFrame(peer)
	})
	defer reader.Wait()
	defer peer.Close()
	for {
		select {
		case <-ended:
			return errors.New("ended")
		case m := <-o.queue:
			body, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			if err := writeFrame(peer, seconds(o.options.Lease/2), frameRaft, body); err != nil {
				return err
			}
		}
	}
}
