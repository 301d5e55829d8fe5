// Package limits holds every size, count and time that bounds the controller. One value is filled at start
// and handed down; nothing here decides where or when a job runs. Times are seconds.
package limits

import "time"

// Limits bounds the controller.
type Limits struct {
	Memory  int64 // for Go's own limit, in bytes
	Garbage int   // heap growth between collections, in percent

	// Descriptors.
	ClientConns int // connections from clients, at most
	ClientEase  int // from here on those without a job give way
	ClientFull  int // from here on without patience
	EngineConns int // connections to all engines together

	// Counts.
	JobsPerConn int // open on one client connection
	Jobs        int // open altogether
	Queue       int // what waits to be written on one connection
	Fill        int // dispatches on each of them before a further one is opened
	Spread      int // connections to one engine, before they are filled
	Left        int // dispatches ended but not done on one engine connection before it takes no more

	// Sizes, in bytes.
	Buffer  int   // of one buffer
	Buffers int64 // in use at once
	Message int   // one message of a client
	Depth   int   // nesting in a message
	Name    int   // an id, a method, the name of a field
	Fields  int   // the fields of an engine's answer
	Page    int   // one page of a result
	Pages   int   // pages of a result
	Result  int   // a whole result
	Line    int   // a line on the command channel
	Engines int   // that the roster may name

	// What a job may ask for; more is a mistake.
	Allow, Work float64 // seconds
	Need        float64 // MB

	// Times.
	Margin       float64 // before a job's time is up, for the way back and for pauses
	MarginShare  float64 // of the job's time, the most that the margin takes
	Heard        float64 // for what came while the process stood still to be read
	Still        float64 // behind its time, a wake-up is worth a log line
	ClientWrite  float64 // for a client to take what is written
	ClientRead   float64 // for the rest of a message begun
	ClientFirst  float64 // for the first message to begin
	ClientIdle   float64 // without an open job
	ClientYoung  float64 // for a new connection to say something before it gives way to another
	ClientSpare  float64 // without a job, before one that has said something gives way
	ClientRetry  float64 // between looks for a free place
	ClientLast   float64 // for what has come when a connection is to end
	ClientLinger float64 // for the client to close after the last answer
	EngineWrite  float64 // for an engine to take what is written
	EngineRead   float64 // for the rest of an answer begun
	EngineAlive  float64 // for one connection, while the engine answers on another
	GiveUp       float64 // for a give-up to reach its engine
	Probe        float64 // for the answer to a probe

	EngineQuiet, EngineQuietest float64 // silence before a sign of life is asked for, at first and at most
	ChannelQuiet                float64 // without a tick
	ChannelRetry                float64 // between tries to connect
	ChannelWait                 float64 // for a connection to the channel
	Stay                        float64 // after the signal, in which jobs may still come
	Longest                     float64 // job timeout that is waited for after the signal
	Leave                       float64 // more, by when all is answered
}

// For fills the limits for a machine with so much memory and so many descriptors.
func For(memoryMB, sockets int) Limits {
	memory := int64(memoryMB) << 20
	return Limits{
		Memory:  memory * 7 / 10,
		Garbage: 400, // the live heap is small; a collection delays answers

		ClientConns: max(sockets*4/10, 4), // clients hold a third at most; the rest is for closes that cross
		ClientEase:  max(sockets/4, 2),
		ClientFull:  max(sockets/3, 3),
		EngineConns: max(sockets*4/10, 4), // a fifth stays spare: listener, channel, runtime

		JobsPerConn: 32,
		Jobs:        int(min(max(memory/(32<<10), 64), 20000)), // a job costs two stacks and its statement
		Queue:       256,
		Fill:        3,
		Spread:      8, // three gateways open 24 at an engine; a lost connection then costs a few dispatches
		Left:        1000,

		Buffer:  8 << 10, // a page with room
		Buffers: max(memory/4/(8<<10), 16),
		Message: 256 << 10,
		Depth:   8,
		Name:    128,
		Fields:  1 << 10,
		Page:    6000,
		Pages:   64,
		Result:  48000,
		Line:    int(min(memory/16, 4<<20)), // a whole list of that many engines
		Engines: 10000,

		Allow: 86400,
		Work:  864000,
		Need:  1e8,

		Margin:       0.05, // the way back takes 2 ms; what comes later than its time has failed, no more
		MarginShare:  0.1,  // some clients allow 50 ms
		Heard:        0.002,
		Still:        0.05,
		ClientWrite:  2,
		ClientRead:   1.5,
		ClientFirst:  1, // with the rest of that message within the 3 s in which a bad client hears
		ClientIdle:   6, // clients close idle ones themselves after 4 s
		ClientYoung:  0.05,
		ClientSpare:  1, // clients in use come back sooner
		ClientRetry:  0.005,
		ClientLast:   0.005,
		ClientLinger: 0.5, // the way there and back many times
		EngineWrite:  1,
		EngineRead:   1,     // engines stand still for 0.4 s
		EngineAlive:  0.5,   // likewise
		GiveUp:       0.025, // ten times the way between zones
		Probe:        0.25,
		EngineQuiet:  0.5, EngineQuietest: 4, // a probe has its price, and so has what waits
		ChannelQuiet: 2, // a tick missed and a late one
		ChannelRetry: 0.1,
		ChannelWait:  1,
		Stay:         0.8, // 0.4 s for new connections, 0.2 s more on open ones, and the way here
		Longest:      3,
		Leave:        0.3, // of the 0.7 s before SIGKILL, the rest for a pause
	}
}

// Duration gives seconds as the standard library wants them.
func Duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
