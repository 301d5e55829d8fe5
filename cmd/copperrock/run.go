package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/logging"
)

type runCommand struct {
	Settings string `env:"COPPERROCK_SETTINGS" placeholder:"FILE" help:"The operator's settings; docs/settings.md lists them."`
	Platform string `env:"LB_CONFIG" placeholder:"FILE" help:"What the platform tells at the start."`
}

// Run serves until SIGTERM or an interrupt.
func (c *runCommand) Run() error {
	hup := make(chan os.Signal, 1) // more in a row are one
	signal.Notify(hup, syscall.SIGHUP)
	again := func() (*operator.Settings, error) { return readSettings(c.Settings, c.Platform) }
	s, err := again()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.Limits.Memory)
	debug.SetGCPercent(s.Limits.GCPercent)
	logs := logging.New(os.Stderr, s.Log, time.Now)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	term, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer done()
	return (&controller{settings: s, readSettings: again, listener: l, logs: logs, reloadSignals: hup}).run(term)
}
