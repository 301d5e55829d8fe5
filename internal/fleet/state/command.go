package state

// Op is the kind of a command.
type Op int

// The kinds of command. Each has a struct of its own, which names its fields; see Command for how they are encoded.
const (
	OpConfigure          Op = iota // Configure
	OpJoin                         // Join
	OpExpire                       // Expire
	OpAllocate                     // Allocate
	OpSettle                       // Settle
	OpSetVoterGeneration           // SetVoterGeneration

	OpAssignShard      // AssignShard
	OpRecallShard      // RecallShard
	OpReleaseShard     // ReleaseShard
	OpClaimRun         // ClaimRun
	OpStartRun         // StartRun
	OpFinishRun        // FinishRun
	OpMarkRunUncertain // MarkRunUncertain
	OpSkipRun          // SkipRun
	OpResolveRun       // ResolveRun
	OpSetOverride      // SetOverride
	OpDeleteOverride   // DeleteOverride
	OpPublishList      // PublishList
)

// Command is the encoded form of every command: what an entry of the log and a proposal on the wire hold. Its MessagePack
// names are part of both formats. Which fields count depends on Op; the struct of that kind says what they mean there,
// and Apply reads no others.
type Command struct {
	Op             Op           `msgpack:"Op"`
	Controller     ControllerID `msgpack:"Holder"` // the controller concerned, or the owner of Shard
	Subject        string       `msgpack:"What"`   // the quantity, the task of a shard, the job of a run, the target of an override, or the list
	Amount         float64      `msgpack:"Amount"`
	Number         uint64       `msgpack:"Number"` // a fencing token; of OpSettle a revision, of overrides their number
	MaxControllers int          `msgpack:"Most"`
	Generation     uint64       `msgpack:"Generation"`
	Quantities     []Quantity   `msgpack:"Quantities"`
	Tasks          []Task       `msgpack:"Duties"`
	ScheduledJobs  []string     `msgpack:"Jobs"` // names

	Task          string   `msgpack:"Duty"` // of runs: the task whose shard the owner claims
	Shard         int      `msgpack:"At"`
	Time          int64    `msgpack:"When"` // Unix seconds: when a run is due, or an override ends
	State         RunState `msgpack:"State"`
	NonIdempotent bool     `msgpack:"Once"`
	Rerun         bool     `msgpack:"Again"`
	Revoke        bool     `msgpack:"Ends"`
	Text          string   `msgpack:"Text"` // of runs an outcome, of overrides their kind
	Data          []byte   `msgpack:"Data"`
}

// shardClaim is the part of a command by which an owner proves that a shard is its own.
func (c Command) shardClaim(task string) shardClaim {
	return shardClaim{owner: c.Controller, task: task, shard: c.Shard, fence: c.Number}
}

// runClaim is the part of a command by which the owner of a job's shard names one of its runs.
func (c Command) runClaim() runClaim {
	return runClaim{shardClaim: c.shardClaim(c.Task), job: c.Subject, due: c.Time}
}
