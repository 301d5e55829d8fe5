// Package logging creates the loggers of the program, one for each part of it. Repeated lines of a part are rate-limited by
// message, so that a flood of one message can't hide the others.
package logging

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
)

// Options are the operator's settings of the log.
type Options struct {
	Level       string  // debug, info, warn or error
	Format      string  // json, console, or auto: console on a terminal and json otherwise
	Burst       float64 // largest number of lines with the same part and message per second
	GatewayName string  // name of the gateway, added to each line
}

// Program is the part for start, reload and shutdown; its lines are never dropped.
const Program = "program"

// Log creates loggers that write to the same output under a common rate limit.
type Log struct {
	base  zerolog.Logger
	burst float64
	now   func() time.Time

	mu     sync.Mutex
	counts map[messageKey]*messageCount
}

// messageKey identifies the lines that are counted together. Messages are constants of the program, so there is a limited
// number of keys.
type messageKey struct{ part, message string }

// messageCount counts the lines of one messageKey.
type messageCount struct {
	windowStart time.Time // start of the current one-second window
	written     float64   // lines written in the window
	dropped     int       // lines dropped and not reported yet
}

// New returns a Log that writes to out.
func New(out io.Writer, o Options, now func() time.Time) *Log {
	level, err := zerolog.ParseLevel(o.Level)
	if err != nil || o.Level == "" {
		level = zerolog.InfoLevel
	}
	file, isFile := out.(*os.File)
	if o.Format == "console" || o.Format == "auto" && isFile && isatty.IsTerminal(file.Fd()) {
		out = zerolog.ConsoleWriter{Out: out, TimeFormat: "15:04:05.000"}
	}
	context := zerolog.New(out).Level(level).With().Timestamp()
	if o.GatewayName != "" {
		context = context.Str("name", o.GatewayName)
	}
	return &Log{base: context.Logger(), burst: o.Burst, now: now, counts: map[messageKey]*messageCount{}}
}

// Part returns the logger of a part of the program.
func (l *Log) Part(name string) zerolog.Logger {
	log := l.base.With().Str("part", name).Logger()
	if name == Program {
		return log
	}
	return log.Hook(rateLimit{l, name})
}

// rateLimit drops lines of a part whose message repeats too often. Errors are never dropped.
type rateLimit struct {
	*Log
	part string
}

// Run drops the line or lets it pass. The first line that passes after others were dropped reports how many.
func (r rateLimit) Run(e *zerolog.Event, level zerolog.Level, message string) {
	if level >= zerolog.ErrorLevel {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key, now := messageKey{r.part, message}, r.now()
	c := r.counts[key]
	if c == nil {
		c = &messageCount{windowStart: now}
		r.counts[key] = c
	}
	if now.Sub(c.windowStart) >= time.Second {
		c.windowStart, c.written = now, 0
	}
	if c.written >= r.burst {
		c.dropped++
		e.Discard()
		return
	}
	c.written++
	if c.dropped > 0 {
		e.Int("dropped", c.dropped)
		c.dropped = 0
	}
}

// ReportDropped logs how many lines were dropped and not reported yet. It is called periodically and at shutdown.
func (l *Log) ReportDropped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.counts {
		if c.dropped > 0 {
			l.base.Warn().Str("part", key.part).Str("line", key.message).Int("dropped", c.dropped).Msg("lines dropped")
			c.dropped = 0
		}
	}
}
