package main

import (
	"context"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/discovery/file"
	"copperrock.example/copperrock/internal/discovery/merge"
	"copperrock.example/copperrock/internal/discovery/watch"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/sharedwork"
)

// startSources starts the sources of the endpoint list, and returns the command channel, nil where there is none. The
// gateway is ready for requests once it has an endpoint list, or follows a channel that will tell one.
func (c *controller) startSources(ctx context.Context, group *errgroup.Group, g *gateway.Gateway,
	publisher *sharedwork.ListPublisher, log zerolog.Logger) *watch.Client {
	s := c.settings
	var subscriber discovery.Subscriber = g
	if c.onUpdate != nil {
		subscriber = observedSubscriber{g, c.onUpdate}
	}
	if publisher != nil && s.ChannelAddress == "" {
		subscriber = publisher
	}
	ofFile, ofChannel := subscriber, subscriber
	if s.ChannelAddress != "" && s.EngineFile.File != "" {
		aggregator := merge.New(2, subscriber, c.logs.Part("members"))
		ofFile, ofChannel = aggregator.Source(0), aggregator.Source(1) // the operator's file goes first
	}
	if s.EngineFile.File != "" {
		source := c.newFileSource(g, ofFile)
		group.Go(func() error { return source.Run(ctx) })
	}
	if s.ChannelAddress == "" {
		return nil
	}
	channel := &watch.Client{Subscriber: ofChannel, Limits: s.Limits, Log: c.logs.Part("channel")}
	channel.SetAddress(s.ChannelAddress)
	if err := channel.ApplyKnown(s.Events); err != nil {
		log.Warn().Err(err).Msg("known endpoint list rejected")
	}
	g.SetReady(true)
	group.Go(func() error { return channel.Run(ctx) })
	return channel
}

// newFileSource makes the source that follows the operator's file, with the list of its copy.
func (c *controller) newFileSource(g *gateway.Gateway, subscriber discovery.Subscriber) *file.Source {
	options := c.settings.EngineFile
	source := &file.Source{
		Tracker:      options.Tracker(),
		CopyPath:     options.CopyPath,
		PollInterval: options.PollInterval,
		Subscriber:   subscriber,
		Log:          c.logs.Part("engines-file"),
	}
	source.OnDecision = func(d discovery.Decision) {
		if d.Verdict == discovery.Apply {
			g.SetReady(true)
		}
		if c.onDecision != nil {
			c.onDecision(d)
		}
	}
	source.Restore()
	if source.HasList() {
		g.SetReady(true)
	}
	return source
}
