// Package limits defines the bounds on sizes, counts and times of the controller. They are computed once at start and
// passed to the packages that need them. None of them decides where or when a request runs. Times are in seconds.
package limits

import "time"

// Limits bounds the resources that the controller uses.
type Limits struct {
	Memory    int64 // memory limit of the Go runtime, in bytes
	GCPercent int   // heap growth between garbage collections, in percent

	// File descriptors.
	MaxClientConns       int // maximum number of connections from clients
	ClientConnsSoftLimit int // number of client connections at which idle ones begin to be evicted for new ones
	ClientConnsHardLimit int // number of client connections at which idle ones are evicted after the shortest grace
	MaxEngineConns       int // maximum number of connections to all engines together
	MaxChannelConns      int // maximum number of connections to the command channel while it is silent

	// Counts.
	MaxRequestsPerConn  int // maximum number of open requests on one client connection
	MaxRequests         int // maximum number of open requests on all connections
	MaxEndedIDs         int // IDs of ended requests that are remembered because they must not run again
	MinRequestsPerConn  int // open requests allowed on one client connection however many connections there are
	ExcessPerConn       int // messages that are no acceptable requests, and cancelled requests, that one connection may send per second
	MinExcessPerConn    int // the same, allowed however many connections there are
	Excess              int // the same for all connections together, divided equally among those with open requests
	WriteQueue          int // messages waiting to be written on one connection
	AttemptsPerConn     int // attempts on each connection to an engine before another one is opened
	ConnsPerEngine      int // connections to one engine before the number of attempts on each exceeds AttemptsPerConn
	MaxAbandonedPerConn int // abandoned attempts on one engine connection at which it accepts no more

	// Sizes, in bytes unless stated otherwise.
	BufferSize int   // one buffer
	MaxBuffers int64 // number of buffers in use at once
	MaxMessage int   // one message of a client
	MaxValues  int   // values in one message of a client, nested ones included
	MaxDepth   int   // levels of nesting in one message
	MaxName    int   // an ID, a method or a field name
	MaxFields  int   // the fields of an engine's answer
	MaxPage    int   // one page of a result
	MaxPages   int   // number of pages in a result
	MaxResult  int   // a whole result
	MaxLine    int   // a line on the command channel
	MaxEngines int   // number of engines in the endpoint list

	// Largest values that a request may ask for; a larger one is treated as an error of the client.
	MaxTimeout, MaxWork float64 // seconds
	MaxMemoryEstimate   float64 // MB

	// Times.
	DeadlineMargin      float64 // time reserved before a request's deadline for the answer's transmission and for pauses
	MaxMarginFraction   float64 // largest fraction of a request's timeout that DeadlineMargin may take
	PauseSettleTime     float64 // time to read pending input after the process was paused
	PauseThreshold      float64 // delay of a timer above which the process counts as paused
	ClientWriteTimeout  float64 // time for a client to accept written data
	ClientReadTimeout   float64 // time for the rest of a message that has begun
	FirstMessageTimeout float64 // time for the first message to begin
	ClientIdleTimeout   float64 // time without an open request after which a connection is closed
	NewClientGrace      float64 // time for a new connection to send a message before it may be evicted
	IdleClientGrace     float64 // time without a request before a connection that has sent a message may be evicted
	OverloadHold        float64 // time for which a connection that exceeds its limits counts as overloading
	PacedRate           float64 // messages per second read from all overloading connections together without a pause
	MinPacedRate        float64 // the same on a busy machine
	AcceptRetryInterval float64 // interval between checks whether a connection may be accepted
	FinalReadTime       float64 // time to read data that has already arrived before a connection ends
	ClientLinger        float64 // time for the client to close the connection after the last answer
	EngineWriteTimeout  float64 // time for an engine to accept written data
	EngineReadTimeout   float64 // time for the rest of an answer that has begun
	SilentConnTimeout   float64 // silence of a connection after the engine has answered on another one
	CancelTimeout       float64 // time for a cancellation to reach its engine
	LoadPollTimeout     float64 // time for the answer to a load poll

	KeepaliveAfter, MaxKeepaliveAfter float64 // silence before a keep-alive is sent, initially and at most
	ChannelIdleTimeout                float64 // time without a heartbeat or an event on the command channel before it is connected to anew
	ChannelConnTimeout                float64 // time without data before a connection to the command channel is closed
	ChannelRetryDelay                 float64 // delay between attempts to connect to the command channel
	ChannelDialTimeout                float64 // time to establish a connection to the command channel before another one is tried
	ShutdownAcceptTime                float64 // time after the signal in which requests are still accepted
	MaxShutdownWait                   float64 // longest request timeout that shutdown waits for
	ShutdownMargin                    float64 // time added to that timeout, after which all requests must be answered
}

// For returns the limits for a machine with the given memory in MB and number of file descriptors.
func For(memoryMB, sockets int) Limits {
	memory := int64(memoryMB) << 20
	return Limits{
		Memory:    memory * 7 / 10,
		GCPercent: 400, // the live heap is small, and a collection delays answers

		MaxClientConns:       max(sockets*4/10, 4), // clients hold at most a third; the rest covers connections being closed
		ClientConnsSoftLimit: max(sockets/4, 2),
		ClientConnsHardLimit: max(sockets/3, 3),
		MaxEngineConns:       max(sockets*4/10, 4), // a fifth is left for the listener, the command channel and the runtime
		MaxChannelConns:      4,                    // each may buffer a line of MaxLine

		MaxRequestsPerConn:  32,
		MaxRequests:         int(min(max(memory/(32<<10), 64), 20000)), // a request costs two goroutine stacks and its statement
		MaxEndedIDs:         int(min(max(memory/(16<<10), 64), 1<<16)),
		MinRequestsPerConn:  4,
		ExcessPerConn:       16,
		MinExcessPerConn:    4,
		Excess:              1024,
		WriteQueue:          256,
		AttemptsPerConn:     3,
		ConnsPerEngine:      8, // three gateways open 24 at an engine; losing a connection then fails only a few attempts
		MaxAbandonedPerConn: 1000,

		BufferSize: 8 << 10, // one page with room to spare
		MaxBuffers: max(memory/4/(8<<10), 16),
		MaxMessage: 256 << 10,
		MaxValues:  2 << 10, // a request has some 20; an abort may name hundreds of requests
		MaxDepth:   8,
		MaxName:    128,
		MaxFields:  1 << 10,
		MaxPage:    6000,
		MaxPages:   64,
		MaxResult:  48000,
		MaxLine:    int(min(memory/16, 4<<20)), // a complete list of MaxEngines engines
		MaxEngines: 10000,

		MaxTimeout:        86400,
		MaxWork:           864000,
		MaxMemoryEstimate: 1e8,

		DeadlineMargin:      0.05, // an answer takes 2 ms to the client; a late one fails its request and has no other effect
		MaxMarginFraction:   0.1,  // some clients have a timeout of 50 ms
		PauseSettleTime:     0.002,
		PauseThreshold:      0.05,
		ClientWriteTimeout:  2,
		ClientReadTimeout:   1.5,
		FirstMessageTimeout: 1, // with ClientReadTimeout within the 3 s in which a faulty client must get an answer
		ClientIdleTimeout:   6, // clients themselves close idle connections after 4 s
		NewClientGrace:      0.05,
		IdleClientGrace:     1, // active clients send again sooner
		OverloadHold:        1,
		PacedRate:           2000, // a quarter of what one processor can serve
		MinPacedRate:        100,
		AcceptRetryInterval: 0.005,
		FinalReadTime:       0.005,
		ClientLinger:        0.5, // many round trips
		EngineWriteTimeout:  1,
		EngineReadTimeout:   1,     // engines may stall for 0.4 s
		SilentConnTimeout:   0.5,   // for the same reason
		CancelTimeout:       0.025, // ten times the latency between zones
		LoadPollTimeout:     0.25,
		KeepaliveAfter:      0.5, MaxKeepaliveAfter: 4, // a keep-alive costs work at the engine; a late one keeps requests waiting
		ChannelIdleTimeout: 2,  // allows for one missed heartbeat and one late one
		ChannelConnTimeout: 16, // the channel may be 10 s late
		ChannelRetryDelay:  0.1,
		ChannelDialTimeout: 1,
		ShutdownAcceptTime: 0.8, // 0.4 s for new connections, 0.2 s more for open ones, and network delay
		MaxShutdownWait:    3,
		ShutdownMargin:     0.3, // of the 0.7 s before SIGKILL; the rest allows for a pause of the process
	}
}

// Duration converts seconds to a time.Duration.
func Duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
