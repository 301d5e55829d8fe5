package operator

import "copperrock.example/copperrock/internal/config/schema"

func (s *Settings) declareLog(o *schema.Object) {
	s.Log.GatewayName = s.Name
	o.String(&s.Log.Level, "level", "lowest level of the lines that are written", schema.Default("info"),
		schema.OneOf("debug", "info", "warn", "error"))
	o.String(&s.Log.Format, "form", "auto: console on a terminal, otherwise json", schema.Default("auto"),
		schema.OneOf("json", "console", "auto"))
	o.Number(&s.Log.Burst, "burst", "largest number of lines per second with the same part and message; more are dropped, and their number is reported",
		schema.Default(10.0), schema.Between(1, 10000))
}

func (s *Settings) declareClients(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.FirstMessageTimeout, "first_message", "time for the first message to begin; set it higher if clients open pools of connections in advance", 0.05, 86400)
	declareTime(o, &l.ClientIdleTimeout, "idle", "time without an open job after which a connection is closed", 0.05, 86400)
	declareTime(o, &l.ClientReadTimeout, "read", "time for the rest of a message that has begun", 0.05, 3600)
	declareTime(o, &l.ClientWriteTimeout, "write", "time for a client to accept what is written to it", 0.05, 3600)
	declareTime(o, &l.IdleClientGrace, "spare", "time without a job after which a connection may be closed in favor of a new one", 0, 86400)
	declareCount(o, &l.MaxRequestsPerConn, "jobs_per_connection", "largest number of open jobs on one connection", 1, 10000)
	declareCount(o, &l.MaxMessage, "message_bytes", "largest size of a message", 1024, 64<<20)
	declareCount(o, &l.MaxRequests, "open_jobs", "largest number of open jobs on all connections; the default is one for each 32 KB of memory, and at most 20,000", 1, 1e6)
	declareTime(o, &l.DeadlineMargin, "margin", "time reserved before a job's deadline for sending the answer", 0, 5)
	o.Number(&l.MaxMarginFraction, "margin_share", "largest fraction of a job's timeout that margin may take", schema.Default(l.MaxMarginFraction),
		schema.Between(0, 0.5))
}

func (s *Settings) declareDispatches(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.EngineWriteTimeout, "write", "time for an engine to accept what is written to it", 0.05, 60)
	declareTime(o, &l.EngineReadTimeout, "read", "time for the rest of an answer that has begun", 0.05, 60)
	declareTime(o, &l.LoadPollTimeout, "probe", "time for the answer to a probe", 0.01, 60)
	declareTime(o, &l.KeepaliveAfter, "quiet", "silence on a connection after which a keep-alive is sent, once a dispatch on it has taken twice its estimated time", 0.05, 60)
	declareTime(o, &l.MaxKeepaliveAfter, "quiet_most", "largest such silence; each answered keep-alive doubles it, from quiet up to this", 0.05, 600)
	declareCount(o, &l.ConnsPerEngine, "connections", "connections to one engine that are opened before more than a few dispatches are sent on each", 1, 1000)
	declareCount(o, &l.MaxPage, "page_bytes", "largest size of a page of a result", 64, 8<<20)
	declareCount(o, &l.MaxPages, "pages", "largest number of pages of a result", 1, 100000)
	declareCount(o, &l.MaxResult, "result_bytes", "largest size of a result", 64, 1<<30)
}

func (s *Settings) declareShutdown(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.ShutdownAcceptTime, "stay", "time in which jobs are still taken", 0, 600)
	declareTime(o, &l.MaxShutdownWait, "longest", "longest job timeout that is waited for", 0, 86400)
	declareTime(o, &l.ShutdownMargin, "leave", "time added to the job timeout that is waited for, after which all jobs must be answered", 0.05, 600)
}

// declareTime declares a time, whose default is the current value of target.
func declareTime(o *schema.Object, target *float64, name, text string, low, high float64) {
	o.Seconds(target, name, text, schema.Default(*target), schema.Between(low, high))
}

// declareCount declares a count, whose default is the current value of target.
func declareCount(o *schema.Object, target *int, name, text string, low, high float64) {
	schema.Integer(o, target, name, text, schema.Default(*target), schema.Between(low, high))
}
