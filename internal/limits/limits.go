// Package limits holds every size, count and time that bounds the controller. One value is filled at start
// and handed down; nothing here decides where or when a job runs. Times are seconds.
package limits

import "time"

// Limits bounds the controller.
type Limits struct {
	Memory  int64 // for Go's own limit, in bytes
	Garbage int   // heap growth between collections, in percent

	// Descriptors.
	ClientConns int // connections from clients
	EngineConns int // connections to all engines together

	// Counts.
	JobsPerConn int // open on one client connection
	Jobs        int // open altogether
	Queue       int // what waits to be written on one connection
	Left        int // calls given up on one engine connection before it takes no more

	// Sizes, in bytes.
	Buffer   int    // of one buffer
	Buffers  int64  // in use at once
	Message  int    // one message of a client
	Depth    int    // nesting in a message
	Name     int    // an id, a method, the name of a field
	Fields   int    // the fields of an engine's answer
	Page     int    // one page of a result
	Pages    int    // pages of a result
	Result   int    // a whole result
	Line     int    // a line on the command channel
	Engines  int    // that the roster may name
	LogBurst uint32 // lines a second

	// Times.
	Margin       float64 // before a job's time is up, for the way back and for pauses
	MarginShare  float64 // of the job's time, the most that the margin takes
	Still        float64 // behind its time, a wake-up is worth a log line
	ClientWrite  float64 // for a client to take what is written
	ClientRead   float64 // for the rest of a message begun
	ClientIdle   float64 // without an open job
	ClientRetry  float64 // between looks for a free place
	EngineWrite  float64 // for an engine to take what is written
	Probe        float64 // for the answer to a probe
	ChannelQuiet float64 // without a tick
	ChannelRetry float64 // between tries to connect
	ChannelWait  float64 // for a connection to the channel
	Stay         float64 // after the signal, in which jobs may still come
	Longest      float64 // job timeout that is waited for after the signal
	Leave        float64 // more, by when all is answered
}

// For fills the limits for a machine with so much memory and so many descriptors.
func For(memoryMB, sockets int) Limits {
	memory := int64(memoryMB) << 20
	return Limits{
		Memory:  memory * 7 / 10,
		Garbage: 400, // the live heap is small; a collection delays answers

		ClientConns: max(sockets*4/10, 4), // clients hold a third at most; the rest is for closes that cross
		EngineConns: max(sockets*4/10, 4), // a fifth stays spare: listener, channel, runtime

		JobsPerConn: 32,
		Jobs:        int(min(max(memory/(32<<10), 64), 20000)), // a job costs two stacks and its statement
		Queue:       256,
		Left:        1000,

		Buffer:   8 << 10, // a page with room
		Buffers:  max(memory/4/(8<<10), 16),
		Message:  256 << 10,
		Depth:    8,
		Name:     128,
		Fields:   1 << 10,
		Page:     6000,
		Pages:    64,
		Result:   48000,
		Line:     1 << 20,
		Engines:  10000,
		LogBurst: 50,

		Margin:       0.25, // pauses of 0.2 s were seen; what is done so late earns little
		MarginShare:  0.25, // retries come with 60 to 240 ms left
		Still:        0.05,
		ClientWrite:  2,
		ClientRead:   10,
		ClientIdle:   60,
		ClientRetry:  0.02,
		EngineWrite:  1,
		Probe:        0.25,
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
