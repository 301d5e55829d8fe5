package fleet

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// Limits of a lease request's contents.
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
		panic(err) // can't happen: messages are plain values of this program's own types
	}
	return body
}

// decodeMessage decodes a message into the value that message points to. Its error wraps errInvalidFrame.
func decodeMessage(body []byte, message any) error {
	if err := msgpack.Unmarshal(body, message); err != nil {
		return fmt.Errorf("%w: %w", errInvalidFrame, err)
	}
	return nil
}

// decodeLeaseRequest decodes a request and checks its limits. Its error wraps errInvalidFrame.
func decodeLeaseRequest(body []byte) (request consensus.LeaseRequest, err error) {
	if err = decodeMessage(body, &request); err != nil {
		return request, err
	}
	if request.Controller.Name == "" || len(request.Controller.Name) > maxNameLength {
		return request, errInvalidFrame
	}
	if len(request.Demands) > maxQuantities || len(request.Quantities) > maxQuantities {
		return request, errInvalidFrame
	}
	if len(request.ReturnedShards) > maxReturnedShards || len(request.ListVersions) > maxLists ||
		len(request.ScheduledJobs) > maxScheduledJobs || len(request.Tasks) > maxTasks || !(request.WorkCapacity >= 0) {
		return request, errInvalidFrame
	}
	for _, demand := range request.Demands {
		if !isPlausible(demand) {
			return request, errInvalidFrame
		}
	}
	return request, nil
}

// isPlausible reports whether a demand's numbers are within their limits. It is false if one of them is NaN.
func isPlausible(d consensus.Demand) bool {
	return d.Used >= 0 && d.Used <= maxReportedAmount &&
		d.Wanted >= 0 && d.Wanted <= maxReportedAmount &&
		d.Weight >= 0 && d.Weight <= maxReportedWeight &&
		d.Guaranteed >= 0
}

// decodeRaftMessage decodes a raft message. Its error wraps errInvalidFrame.
func decodeRaftMessage(body []byte) (*raftpb.Message, error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidFrame, err)
	}
	return message, nil
}
