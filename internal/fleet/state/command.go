package state

// Op is the kind of a command.
type Op int

// The kinds of command. Their values are encoded in log entries and proposals. Each comment names the struct that holds the
// command's arguments.
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
	OpClaimRun         // claimRun
	OpStartRun         // runClaim
	OpFinishRun        // finishRun
	OpMarkRunUncertain // runClaim
	OpSkipRun          // skipRun
	OpResolveRun       // resolveRun
	OpSetOverride      // SetOverride
	OpDeleteOverride   // DeleteOverride
	OpPublishList      // publishList
)

// Command is the encoded form of every command, as log entries and proposals on the wire contain it. Its MessagePack names
// are part of both formats. Op determines which fields are used: those that hold the fields of the kind's struct. Apply
// ignores all others.
type Command struct {
	Op             Op           `msgpack:"Op"`
	Controller     ControllerID `msgpack:"Holder"` // the controller that the command is about, or the owner of Shard
	Subject        string       `msgpack:"What"`   // name of the quantity, task, scheduled job, override target or list
	Amount         float64      `msgpack:"Amount"`
	Number         uint64       `msgpack:"Number"` // a fencing token; the revision for OpSettle, the override's number for overrides
	MaxControllers int          `msgpack:"Most"`
	Generation     uint64       `msgpack:"Generation"`
	Quantities     []Quantity   `msgpack:"Quantities"`
	Tasks          []Task       `msgpack:"Duties"`
	ScheduledJobs  []string     `msgpack:"Jobs"` // job names

	Task          string   `msgpack:"Duty"` // for runs: the task whose shard the owner presents
	Shard         int      `msgpack:"At"`
	Time          int64    `msgpack:"When"` // Unix seconds: due time of a run, or expiry of an override
	State         RunState `msgpack:"State"`
	NonIdempotent bool     `msgpack:"Once"`
	Rerun         bool     `msgpack:"Again"`
	Revoke        bool     `msgpack:"Ends"`
	Text          string   `msgpack:"Text"` // the outcome of a run, or the kind of an override
	Data          []byte   `msgpack:"Data"`
}

// shardClaim returns the fields with which an owner proves that it owns a shard.
func (c Command) shardClaim(task string) shardClaim {
	return shardClaim{owner: c.Controller, task: task, shard: c.Shard, fence: c.Number}
}

// runClaim returns the fields with which the owner of a job's shard identifies one of the job's runs.
func (c Command) runClaim() runClaim {
	return runClaim{shardClaim: c.shardClaim(c.Task), job: c.Subject, due: c.Time}
}
