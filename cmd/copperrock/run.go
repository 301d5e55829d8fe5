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
	Platform string `env:"LB_CONFIG" placeholder:"FILE" help:"The platform's configuration."`
}

// Run serves until SIGTERM or an interrupt.
func (c *runCommand) Run() error {
	reloadSignals := make(chan os.Signal, 1) // signals that arrive during a reload cause a single further one
	signal.Notify(reloadSignals, syscall.SIGHUP)
	read := func() (*operator.Settings, error) { return readSettings(c.Settings, c.Platform) }
	s, err := read()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.Limits.Memory)
	debug.SetGCPercent(s.Limits.GCPercent)
	logs := logging.New(os.Stderr, s.Log, time.Now)
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	terminate, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return (&controller{settings: s, readSettings: read, listener: listener, logs: logs, reloadSignals: reloadSignals}).run(terminate)
}
