package state

// Op is what a command does.
type Op int

const (
	OpConfigure          Op = iota // all Quantities, as a whole, of a later Generation
	OpJoin                         // Holder
	OpExpire                       // Holder, surely gone
	OpAllocate                     // Amount of Quantity that Holder may spend
	OpSettle                       // Holder keeps to the holding of Number and uses Amount still
	OpSetVoterGeneration           // those of Generation are the quorum now

	OpAssignShard      // slice At of duty What, of fence Number, to Holder
	OpRecallShard      // the owner is asked to give the slice back
	OpReleaseShard     // the owner has, or its lease is surely over
	OpClaimRun         // Holder, owner of slice At of Duty under fence Number, takes the occurrence When of job What
	OpStartRun         // and sends it
	OpFinishRun        // how it ended: State, Text
	OpMarkRunUncertain // what an owner before has sent may have run
	OpSkipRun          // the occurrence is passed over
	OpResolveRun       // a person's word on one that may have run
	OpSetOverride      // an operator's order: kind Text, target What
	OpDeleteOverride   // one that took another back and has been taken up
	OpPublishList      // Data, by the owner of the slice
)

// Command is an entry of the log.
type Command struct {
	Op             Op           `msgpack:"Op"`
	Controller     ControllerID `msgpack:"Holder"`
	Subject        string       `msgpack:"What"` // the quantity of Move and Settle
	Amount         float64      `msgpack:"Amount"`
	Number         uint64       `msgpack:"Number"`
	MaxControllers int          `msgpack:"Most"` // of Join: controllers that the fleet may have
	Generation     uint64       `msgpack:"Generation"`
	Quantities     []Quantity   `msgpack:"Quantities"`
	Tasks          []Task       `msgpack:"Duties"`
	ScheduledJobs  []string     `msgpack:"Jobs"` // scheduled ones, by name

	Task          string   `msgpack:"Duty"` // of Take to Miss
	Shard         int      `msgpack:"At"`   // slice
	Time          int64    `msgpack:"When"`
	State         RunState `msgpack:"State"`
	NonIdempotent bool     `msgpack:"Once"`
	Rerun         bool     `msgpack:"Again"`
	Revoke        bool     `msgpack:"Ends"`
	Text          string   `msgpack:"Text"`
	Data          []byte   `msgpack:"Data"`
}
