package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/storage/recovery"
	"copperrock.example/copperrock/internal/storage/requestlog"
	"github.com/rs/zerolog"
)

// storeSection is the section of the operator's settings on what outlives a crash.
var storeSection = operator.Section{Name: "store", Text: requestlog.Description, Declare: declareStore}

// listCopyName is the name of the endpoint list's copy in the store's folder.
const listCopyName = "engines.jsonc"

func declareStore(s *operator.Settings, o *schema.Object) any {
	options := &requestlog.Options{Owner: s.Name}
	options.Declare(o)
	if !options.Enabled() {
		return options
	}
	if s.RequestFields.IdempotencyKey == "" {
		o.AddError("folder", "requests.retry names no field: no job has a key")
	}
	if s.EngineFile.File != "" && s.EngineFile.CopyPath == "" {
		s.EngineFile.CopyPath = filepath.Join(options.Folder, listCopyName)
	}
	return options
}

// storeOptions is what the settings say of the store, nil where they have not been read.
func storeOptions(s *operator.Settings) *requestlog.Options {
	options, _ := s.Sections[storeSection.Name].(*requestlog.Options)
	return options
}

// endpointCheckInterval is how often a recovering store looks whether there is an endpoint list.
const endpointCheckInterval = 20 * time.Millisecond

// recoverStore opens the request log, replays it and gives it to the gateway, and then writes it until ctx ends. Requests are
// taken once that is done and there is an endpoint list.
func recoverStore(ctx context.Context, g *gateway.Gateway, options *requestlog.Options, log zerolog.Logger) error {
	began := time.Now()
	elapsed := func() float64 { return time.Since(began).Seconds() }
	progress := recovery.New(0)
	store, err := requestlog.Open(*options, nil, requestlog.MachineClock(), log)
	if err != nil {
		progress.Handle(elapsed(), recovery.Failed)
		return withoutStore(ctx, g, options, err, log)
	}
	progress.Handle(elapsed(), recovery.Opened)
	logReplay(store, options, log)
	progress.Handle(elapsed(), recovery.Replayed)
	store.SnapshotLearned = g.LearnedState
	g.StoreOpened(store)
	done := make(chan error, 1)
	go func() { done <- store.Run(ctx) }()
	ticker := time.NewTicker(endpointCheckInterval)
	defer ticker.Stop()
	for !progress.Ready() {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			if g.EndpointCount() > 0 && progress.Handle(elapsed(), recovery.EndpointsListed) {
				log.Info().Str("took", progress.Durations()).Msg("recovered")
			}
		}
	}
	return <-done
}

// withoutStore goes on without a store that can't be used, unless it is required.
func withoutStore(ctx context.Context, g *gateway.Gateway, options *requestlog.Options, err error, log zerolog.Logger) error {
	log.Error().Err(err).Bool("needed", options.Required).Msg("the store can't be opened")
	g.StoreOpened(nil)
	if options.Required {
		return fmt.Errorf("store: %w", err)
	}
	<-ctx.Done()
	return ctx.Err()
}

// logReplay logs what was found in the store.
func logReplay(store *requestlog.Store, options *requestlog.Options, log zerolog.Logger) {
	found, machineStarted := store.Replayed()
	for _, lost := range found.Damaged {
		log.Error().Str("lost", lost.Error()).Float64("strict_for", options.Retention).
			Msg("the store is damaged: what is lost is taken to have run; the file is put aside as .damaged")
	}
	keys, _, _ := store.Usage()
	line := log.Info().Int("records", found.Records).Int64("bytes", found.Bytes).Int("keys", keys).
		Bool("clean", found.CleanShutdown).Bool("machine_started", machineStarted)
	if found.TornBytes > 0 {
		line = line.Int64("torn", found.TornBytes)
	}
	line.Msg("store replayed")
}
