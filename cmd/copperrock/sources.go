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

// startSources starts the sources of the endpoint list, and returns the client of the command channel, or nil if there is none.
// The gateway is ready for requests when it has an endpoint list, or as soon as it is to get one from a command channel.
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
	fileSubscriber, channelSubscriber := subscriber, subscriber
	if s.ChannelAddress != "" && s.EngineFile.File != "" {
		aggregator := merge.New(2, subscriber, c.logs.Part("members"))
		fileSubscriber, channelSubscriber = aggregator.Source(0), aggregator.Source(1) // the operator's file has priority
	}
	if s.EngineFile.File != "" {
		source := c.newFileSource(g, fileSubscriber)
		group.Go(func() error { return source.Run(ctx) })
	}
	if s.ChannelAddress == "" {
		return nil
	}
	channel := &watch.Client{Subscriber: channelSubscriber, Limits: s.Limits, Log: c.logs.Part("channel")}
	channel.SetAddress(s.ChannelAddress)
	if err := channel.ApplyKnown(s.Events); err != nil {
		log.Warn().Err(err).Msg("known endpoint list rejected")
	}
	g.SetReady(true)
	group.Go(func() error { return channel.Run(ctx) })
	return channel
}

// newFileSource creates the source that watches the operator's file, and restores the list from the file's copy.
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
