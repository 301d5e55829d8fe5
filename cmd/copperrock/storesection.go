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

// storeSection is the section "store" of the operator's settings, on state that survives a crash.
var storeSection = operator.Section{Name: "store", Text: requestlog.Description, Declare: declareStore}

// listCopyName is the name of the copy of the endpoint list in the store's folder.
const listCopyName = "engines.jsonc"

func declareStore(s *operator.Settings, o *schema.Object) any {
	options := &requestlog.Options{Owner: s.Name}
	options.Declare(o)
	if !options.Enabled() {
		return options
	}
	if s.RequestFields.IdempotencyKey == "" {
		o.AddError("folder", "requires requests.retry: without a field for it, no job has a key")
	}
	if s.EngineFile.File != "" && s.EngineFile.CopyPath == "" {
		s.EngineFile.CopyPath = filepath.Join(options.Folder, listCopyName)
	}
	return options
}

// storeOptions returns the settings of the store, or nil if the section was not read.
func storeOptions(s *operator.Settings) *requestlog.Options {
	options, _ := s.Sections[storeSection.Name].(*requestlog.Options)
	return options
}

// endpointCheckInterval is the interval at which recoverStore checks whether there is an endpoint list.
const endpointCheckInterval = 20 * time.Millisecond

// recoverStore opens and replays the request log, passes it to the gateway, and then writes it until ctx is done. The gateway
// accepts requests when the log is replayed and there is an endpoint list.
func recoverStore(ctx context.Context, g *gateway.Gateway, options *requestlog.Options, log zerolog.Logger) error {
	startedAt := time.Now()
	elapsed := func() float64 { return time.Since(startedAt).Seconds() }
	progress := recovery.New(0)
	store, err := requestlog.Open(*options, nil, requestlog.MachineClock(), log)
	if err != nil {
		progress.Handle(elapsed(), recovery.Failed)
		return runWithoutStore(ctx, g, options, err, log)
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

// runWithoutStore continues without a store that can't be opened, unless it is required.
func runWithoutStore(ctx context.Context, g *gateway.Gateway, options *requestlog.Options, err error, log zerolog.Logger) error {
	log.Error().Err(err).Bool("needed", options.Required).Msg("the store can't be opened")
	g.StoreOpened(nil)
	if options.Required {
		return fmt.Errorf("store: %w", err)
	}
	<-ctx.Done()
	return ctx.Err()
}

// logReplay logs the result of replaying the store.
func logReplay(store *requestlog.Store, options *requestlog.Options, log zerolog.Logger) {
	result, machineStarted := store.Replayed()
	for _, damage := range result.Damaged {
		log.Error().Str("lost", damage.Error()).Float64("strict_for", options.Retention).
			Msg("the store is damaged: lost requests are assumed to have run; the file is set aside as .damaged")
	}
	keys, _, _ := store.Usage()
	line := log.Info().Int("records", result.Records).Int64("bytes", result.Bytes).Int("keys", keys).
		Bool("clean", result.CleanShutdown).Bool("machine_started", machineStarted)
	if result.TornBytes > 0 {
		line = line.Int64("torn", result.TornBytes)
	}
	line.Msg("store replayed")
}
