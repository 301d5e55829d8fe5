package operator

import "copperrock.example/copperrock/internal/config/schema"

func (s *Settings) declareLog(o *schema.Object) {
	s.Log.GatewayName = s.Name
	o.String(&s.Log.Level, "level", "lines of this level and above", schema.Default("info"),
		schema.OneOf("debug", "info", "warn", "error"))
	o.String(&s.Log.Format, "form", "auto: console on a terminal, else json", schema.Default("auto"),
		schema.OneOf("json", "console", "auto"))
	o.Number(&s.Log.Burst, "burst", "lines of one message of one part in a second; more are counted and told as dropped",
		schema.Default(10.0), schema.Between(1, 10000))
}

func (s *Settings) declareClients(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.FirstMessageTimeout, "first_message", "for the first message to begin; more where clients open pools ahead", 0.05, 86400)
	declareTime(o, &l.ClientIdleTimeout, "idle", "without an open job, before the connection is closed", 0.05, 86400)
	declareTime(o, &l.ClientReadTimeout, "read", "for the rest of a message that has begun", 0.05, 3600)
	declareTime(o, &l.ClientWriteTimeout, "write", "for a client to take what is written", 0.05, 3600)
	declareTime(o, &l.IdleClientGrace, "spare", "without a job, before a connection may give way to a new one", 0, 86400)
	declareCount(o, &l.MaxRequestsPerConn, "jobs_per_connection", "open at once on one connection", 1, 10000)
	declareCount(o, &l.MaxMessage, "message_bytes", "one message", 1024, 64<<20)
	declareCount(o, &l.MaxRequests, "open_jobs", "open at once on all connections; by default 32 KB of memory each, 20,000 at most", 1, 1e6)
	declareTime(o, &l.DeadlineMargin, "margin", "of a job's time kept for the answer's way back", 0, 5)
	o.Number(&l.MaxMarginFraction, "margin_share", "of a job's time, the most that the margin takes", schema.Default(l.MaxMarginFraction),
		schema.Between(0, 0.5))
}

func (s *Settings) declareDispatches(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.EngineWriteTimeout, "write", "for an engine to take what is written", 0.05, 60)
	declareTime(o, &l.EngineReadTimeout, "read", "for the rest of an answer that has begun", 0.05, 60)
	declareTime(o, &l.LoadPollTimeout, "probe", "for the answer to a probe", 0.01, 60)
	declareTime(o, &l.KeepaliveAfter, "quiet", "silence on a connection before a sign of life is asked for", 0.05, 60)
	declareTime(o, &l.MaxKeepaliveAfter, "quiet_most", "to which that grows while signs of life come", 0.05, 600)
	declareCount(o, &l.ConnsPerEngine, "connections", "to one engine before they are filled", 1, 1000)
	declareCount(o, &l.MaxPage, "page_bytes", "one page of a result", 64, 8<<20)
	declareCount(o, &l.MaxPages, "pages", "of one result", 1, 100000)
	declareCount(o, &l.MaxResult, "result_bytes", "a whole result", 64, 1<<30)
}

func (s *Settings) declareShutdown(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.ShutdownAcceptTime, "stay", "in which jobs may still come", 0, 600)
	declareTime(o, &l.MaxShutdownWait, "longest", "job timeout that is waited for", 0, 86400)
	declareTime(o, &l.ShutdownMargin, "leave", "more, by when all is answered", 0.05, 600)
}

// declareTime declares a time bound with the value that holds without the option as its default.
func declareTime(o *schema.Object, to *float64, name, text string, low, high float64) {
	o.Number(to, name, text, schema.Default(*to), schema.Between(low, high), schema.Unit("s"))
}

func declareCount(o *schema.Object, to *int, name, text string, low, high float64) {
	schema.Integer(o, to, name, text, schema.Default(*to), schema.Between(low, high))
}
