// Package limits holds every size, count and time that bounds the controller. One value is filled at start
// and handed down; nothing here decides where or when a job runs. Times are seconds.
package limits

import "time"

// Limits bounds the controller.
type Limits struct {
	Memory    int64 // for Go's own limit, in bytes
	GCPercent int   // heap growth between collections, in percent

	// Descriptors.
	MaxClientConns       int // connections from clients, at most
	ClientConnsSoftLimit int // from here on those without a job give way
	ClientConnsHardLimit int // from here on without patience
	MaxEngineConns       int // connections to all engines together

	// Counts.
	MaxRequestsPerConn  int // open on one client connection
	MaxRequests         int // open altogether
	MinRequestsPerConn  int // open on one client connection however many connections there are
	ExcessPerConn       int // requests beyond its limit, or cancelled, that one connection may send in a second
	MinExcessPerConn    int // the same however many connections there are
	Excess              int // the same of all connections together; each has its even part
	WriteQueue          int // what waits to be written on one connection
	AttemptsPerConn     int // dispatches on each of them before a further one is opened
	ConnsPerEngine      int // connections to one engine, before they are filled
	MaxAbandonedPerConn int // dispatches ended but not done on one engine connection before it takes no more

	// Sizes, in bytes.
	BufferSize int   // of one buffer
	MaxBuffers int64 // in use at once
	MaxMessage int   // one message of a client
	MaxDepth   int   // nesting in a message
	MaxName    int   // an id, a method, the name of a field
	MaxFields  int   // the fields of an engine's answer
	MaxPage    int   // one page of a result
	MaxPages   int   // pages of a result
	MaxResult  int   // a whole result
	MaxLine    int   // a line on the command channel
	MaxEngines int   // that the roster may name

	// What a job may ask for; more is a mistake.
	MaxTimeout, MaxWork float64 // seconds
	MaxMemoryEstimate   float64 // MB

	// Times.
	DeadlineMargin      float64 // before a job's time is up, for the way back and for pauses
	MaxMarginFraction   float64 // of the job's time, the most that the margin takes
	PauseSettleTime     float64 // for what came while the process stood still to be read
	PauseThreshold      float64 // behind its time, a wake-up is worth a log line
	ClientWriteTimeout  float64 // for a client to take what is written
	ClientReadTimeout   float64 // for the rest of a message begun
	FirstMessageTimeout float64 // for the first message to begin
	ClientIdleTimeout   float64 // without an open job
	NewClientGrace      float64 // for a new connection to say something before it gives way to another
	IdleClientGrace     float64 // without a job, before one that has said something gives way
	OverloadHold        float64 // for which a connection that sends more than its limits counts as overloading
	PacedRate           float64 // messages a second that are read of all overloading connections together without a wait
	MinPacedRate        float64 // the same on a machine that is busy
	AcceptRetryInterval float64 // between looks for a free place
	FinalReadTime       float64 // for what has come when a connection is to end
	ClientLinger        float64 // for the client to close after the last answer
	EngineWriteTimeout  float64 // for an engine to take what is written
	EngineReadTimeout   float64 // for the rest of an answer begun
	SilentConnTimeout   float64 // for one connection, while the engine answers on another
	CancelTimeout       float64 // for a give-up to reach its engine
	LoadPollTimeout     float64 // for the answer to a probe

	KeepaliveAfter, MaxKeepaliveAfter float64 // silence before a sign of life is asked for, at first and at most
	ChannelIdleTimeout                float64 // without a tick
	ChannelRetryDelay                 float64 // between tries to connect
	ChannelDialTimeout                float64 // for a connection to the channel
	ShutdownAcceptTime                float64 // after the signal, in which jobs may still come
	MaxShutdownWait                   float64 // job timeout that is waited for after the signal
	ShutdownMargin                    float64 // more, by when all is answered
}

// For fills the limits for a machine with so much memory and so many descriptors.
func For(memoryMB, sockets int) Limits {
	memory := int64(memoryMB) << 20
	return Limits{
		Memory:    memory * 7 / 10,
		GCPercent: 400, // the live heap is small; a collection delays answers

		MaxClientConns:       max(sockets*4/10, 4), // clients hold a third at most; the rest is for closes that cross
		ClientConnsSoftLimit: max(sockets/4, 2),
		ClientConnsHardLimit: max(sockets/3, 3),
		MaxEngineConns:       max(sockets*4/10, 4), // a fifth stays spare: listener, channel, runtime

		MaxRequestsPerConn:  32,
		MaxRequests:         int(min(max(memory/(32<<10), 64), 20000)), // a job costs two stacks and its statement
		MinRequestsPerConn:  4,
		ExcessPerConn:       16,
		MinExcessPerConn:    4,
		Excess:              1024,
		WriteQueue:          256,
		AttemptsPerConn:     3,
		ConnsPerEngine:      8, // three gateways open 24 at an engine; a lost connection then costs a few dispatches
		MaxAbandonedPerConn: 1000,

		BufferSize: 8 << 10, // a page with room
		MaxBuffers: max(memory/4/(8<<10), 16),
		MaxMessage: 256 << 10,
		MaxDepth:   8,
		MaxName:    128,
		MaxFields:  1 << 10,
		MaxPage:    6000,
		MaxPages:   64,
		MaxResult:  48000,
		MaxLine:    int(min(memory/16, 4<<20)), // a whole list of that many engines
		MaxEngines: 10000,

		MaxTimeout:        86400,
		MaxWork:           864000,
		MaxMemoryEstimate: 1e8,

		DeadlineMargin:      0.05, // the way back takes 2 ms; what comes later than its time has failed, no more
		MaxMarginFraction:   0.1,  // some clients allow 50 ms
		PauseSettleTime:     0.002,
		PauseThreshold:      0.05,
		ClientWriteTimeout:  2,
		ClientReadTimeout:   1.5,
		FirstMessageTimeout: 1, // with the rest of that message within the 3 s in which a bad client hears
		ClientIdleTimeout:   6, // clients close idle ones themselves after 4 s
		NewClientGrace:      0.05,
		IdleClientGrace:     1, // clients in use come back sooner
		OverloadHold:        1,
		PacedRate:           2000, // a quarter of what a processor can serve
		MinPacedRate:        100,
		AcceptRetryInterval: 0.005,
		FinalReadTime:       0.005,
		ClientLinger:        0.5, // the way there and back many times
		EngineWriteTimeout:  1,
		EngineReadTimeout:   1,     // engines stand still for 0.4 s
		SilentConnTimeout:   0.5,   // likewise
		CancelTimeout:       0.025, // ten times the way between zones
		LoadPollTimeout:     0.25,
		KeepaliveAfter:      0.5, MaxKeepaliveAfter: 4, // a probe has its price, and so has what waits
		ChannelIdleTimeout: 2, // a tick missed and a late one
		ChannelRetryDelay:  0.1,
		ChannelDialTimeout: 1,
		ShutdownAcceptTime: 0.8, // 0.4 s for new connections, 0.2 s more on open ones, and the way here
		MaxShutdownWait:    3,
		ShutdownMargin:     0.3, // of the 0.7 s before SIGKILL, the rest for a pause
	}
}

// Duration gives seconds as the standard library wants them.
func Duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
