package fleet

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// Limits on what a lease request may name.
const (
	maxNameLength     = 256 // bytes
	maxQuantities     = 10_000
	maxReturnedShards = 100_000
	maxLists          = 100
	maxTasks          = 100
	maxScheduledJobs  = 10_000
	maxReportedAmount = 1e15
	maxReportedWeight = 1e6
)

// encodeMessage encodes a message of this package or of consensus.
func encodeMessage(message any) []byte {
	body, err := msgpack.Marshal(message)
	if err != nil {
		panic(err) // plain values of our own types
	}
	return body
}

// decodeMessage decodes a message. Its error wraps errFrame.
func decodeMessage(body []byte, into any) error {
	if err := msgpack.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}

// decodeLeaseRequest decodes a request and checks its bounds.
func decodeLeaseRequest(body []byte) (request consensus.LeaseRequest, err error) {
	if err = decodeMessage(body, &request); err != nil {
		return request, err
	}
	if request.Controller.Name == "" || len(request.Controller.Name) > maxNameLength {
		return request, errFrame
	}
	if len(request.Demands) > maxQuantities || len(request.Quantities) > maxQuantities {
		return request, errFrame
	}
	if len(request.ReturnedShards) > maxReturnedShards || len(request.ListVersions) > maxLists ||
		len(request.ScheduledJobs) > maxScheduledJobs || len(request.Tasks) > maxTasks || !(request.WorkCapacity >= 0) {
		return request, errFrame
	}
	for _, demand := range request.Demands {
		if !isPlausible(demand) {
			return request, errFrame
		}
	}
	return request, nil
}

// isPlausible tells whether a demand's numbers are numbers, and not absurd.
func isPlausible(d consensus.Demand) bool {
	return d.Used >= 0 && d.Used <= maxReportedAmount &&
		d.Wanted >= 0 && d.Wanted <= maxReportedAmount &&
		d.Weight >= 0 && d.Weight <= maxReportedWeight &&
		d.Guaranteed >= 0
}

// decodeRaftMessage decodes a message between voters. Its error wraps errFrame.
func decodeRaftMessage(body []byte) (*raftpb.Message, error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	return message, nil
}
