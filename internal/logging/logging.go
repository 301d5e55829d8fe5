// Package logging makes the program's logger. Each part of the program has its own, and repeated lines of one
// part are bounded, so that a flood of one message can't hide another.
package logging

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
)

// Options are what the operator may say of the log.
type Options struct {
	Level  string  // debug, info, warn or error
	Form   string  // json, console, or auto: console on a terminal
	Burst  float64 // lines of one message of one part in a second
	Keeper string  // the gateway's name, on each line
}

// Program is the part whose lines are never dropped: start, reload and end.
const Program = "program"

// Log makes loggers that write to one place and share one bound.
type Log struct {
	base  zerolog.Logger
	burst float64
	now   func() time.Time

	mu    sync.Mutex
	lines map[line]*count
}

// line is one message of one part. Messages are constants of the program, so their number is bounded by it.
type line struct{ part, message string }

type count struct {
	since   time.Time // of the second under way
	passed  float64
	dropped int
}

// New makes the loggers' common root.
func New(out io.Writer, o Options, now func() time.Time) *Log {
	level, err := zerolog.ParseLevel(o.Level)
	if err != nil || o.Level == "" {
		level = zerolog.InfoLevel
	}
	file, terminal := out.(*os.File)
	if o.Form == "console" || o.Form == "auto" && terminal && isatty.IsTerminal(file.Fd()) {
		out = zerolog.ConsoleWriter{Out: out, TimeFormat: "15:04:05.000"}
	}
	context := zerolog.New(out).Level(level).With().Timestamp()
	if o.Keeper != "" {
		context = context.Str("name", o.Keeper)
	}
	return &Log{base: context.Logger(), burst: o.Burst, now: now, lines: map[line]*count{}}
}

// Part gives the logger of a part of the program.
func (l *Log) Part(name string) zerolog.Logger {
	log := l.base.With().Str("part", name).Logger()
	if name == Program {
		return log
	}
	return log.Hook(rateLimit{l, name})
}

// rateLimit drops what one message says too often. Errors always pass.
type rateLimit struct {
	*Log
	part string
}

// Run decides on one line as it is written; the first that passes after others were dropped tells their number.
func (b rateLimit) Run(e *zerolog.Event, level zerolog.Level, message string) {
	if level >= zerolog.ErrorLevel {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at, now := line{b.part, message}, b.now()
	c := b.lines[at]
	if c == nil {
		c = &count{since: now}
		b.lines[at] = c
	}
	if now.Sub(c.since) >= time.Second {
		c.since, c.passed = now, 0
	}
	if c.passed >= b.burst {
		c.dropped++
		e.Discard()
		return
	}
	c.passed++
	if c.dropped > 0 {
		e.Int("dropped", c.dropped)
		c.dropped = 0
	}
}

// ReportDropped writes what was dropped and not told of yet. It is called now and then, and at the end.
func (l *Log) ReportDropped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for at, c := range l.lines {
		if c.dropped > 0 {
			l.base.Warn().Str("part", at.part).Str("line", at.message).Int("dropped", c.dropped).Msg("lines dropped")
			c.dropped = 0
		}
	}
}
