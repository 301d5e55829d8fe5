package main

import (
	"context"
	"fmt"
	"io"
	"net"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/limits"
)

type checkCommand struct {
	File     string `arg:"" help:"The operator's settings."`
	Platform string `placeholder:"FILE" help:"The platform's configuration, as in LB_CONFIG."`
	Probe    bool   `help:"Also try to connect to each engine and to the command channel."`
}

func (c *checkCommand) Run(out io.Writer) error {
	s, err := readSettings(c.File, c.Platform)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: good: %q on %s, %d reservation types, %d MB, %d descriptors\n", c.File, s.Name, s.Listen,
		len(s.Settings.Classes), s.MemoryMB, s.MaxDescriptors)
	var engines []discovery.Endpoint
	if s.EngineFile.File != "" {
		l, err := readList(s.EngineFile.File, s.EngineFile.Bounds())
		if err != nil {
			return err
		}
		fmt.Fprintln(out, listSummary(s.EngineFile.File, l))
		engines = l.Endpoints
	}
	if c.Probe {
		return checkReachable(out, s, engines)
	}
	return nil
}

// checkReachable connects to all engines and to the command channel, at most 32 at a time.
func checkReachable(out io.Writer, s *operator.Settings, engines []discovery.Endpoint) error {
	var group errgroup.Group
	group.SetLimit(32)
	unreachable := make([]error, len(engines)+1)
	try := func(index int, address string) {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), limits.Duration(max(s.Settings.DialTimeout, 0.1)))
			defer cancel()
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if unreachable[index] = err; err == nil {
				conn.Close()
			}
			return nil
		})
	}
	for i, e := range engines {
		try(i, e.Address)
	}
	if s.ChannelAddress != "" {
		try(len(engines), s.ChannelAddress)
	}
	_ = group.Wait() // the errors are in unreachable
	failed := 0
	for i, err := range unreachable {
		if err == nil {
			continue
		}
		failed++
		name := "the command channel"
		if i < len(engines) {
			name = engines[i].Name
		}
		fmt.Fprintf(out, "%s can't be reached: %v\n", name, err)
	}
	if failed > 0 {
		return errReported
	}
	fmt.Fprintln(out, "all addresses can be reached")
	return nil
}
