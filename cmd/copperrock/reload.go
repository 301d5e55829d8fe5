package main

import (
	"reflect"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery/watch"
	"copperrock.example/copperrock/internal/gateway"
)

// reload reads the settings as a whole and takes what may change while the program runs: the channel's address and the teams'
// budgets. Settings that can't be used change nothing.
func (c *controller) reload(g *gateway.Gateway, channel *watch.Client, log zerolog.Logger) {
	next, err := c.readSettings()
	if err != nil {
		log.Warn().Err(err).Msg("configuration rejected, the current one stays")
		return
	}
	afterRestart := changedSections(c.settings, next)
	if !c.reloadBudgets(g, next, log) {
		afterRestart = append(afterRestart, "teams.budgets")
	}
	if !c.reloadChannel(channel, next, log) {
		afterRestart = append(afterRestart, "channel")
	}
	log.Info().Str("channel", c.settings.ChannelAddress).Strs("after_restart", afterRestart).Msg("configuration applied")
}

// changedSections names the changed settings that are taken by a restart only.
func changedSections(current, next *operator.Settings) []string {
	var changed []string
	for _, section := range []struct {
		name          string
		current, next any
	}{
		{"listen, name", [2]string{current.Listen, current.Name}, [2]string{next.Listen, next.Name}},
		{"limits", current.Limits, next.Limits},
		{"settings", current.Settings, next.Settings},
		{"log", current.Log, next.Log},
		{"engines", current.EngineFile, next.EngineFile},
		{"teams, but for the budgets", current.Teams.Options, next.Teams.Options},
		{"requests", current.RequestFields, next.RequestFields},
		{"fleet", fleetOptions(current), fleetOptions(next)},
		{"duties", sharedWorkOptions(current), sharedWorkOptions(next)},
		{"store", storeOptions(current), storeOptions(next)},
	} {
		if !reflect.DeepEqual(section.current, section.next) {
			changed = append(changed, section.name)
		}
	}
	return changed
}

// reloadBudgets takes the budgets; false where only a restart does. Whether there are any at all can't change.
func (c *controller) reloadBudgets(g *gateway.Gateway, next *operator.Settings, log zerolog.Logger) bool {
	current := &c.settings.Teams
	if len(current.Budgets) == 0 || len(next.Teams.Budgets) == 0 {
		return len(current.Budgets) == len(next.Teams.Budgets)
	}
	if err := g.UpdateBudgets(next.Teams.Budgets); err != nil {
		log.Warn().Err(err).Msg("budgets rejected, the current ones stay")
		return true
	}
	current.Budgets = next.Teams.Budgets
	return true
}

// reloadChannel follows the channel at its new address; false where only a restart does.
func (c *controller) reloadChannel(channel *watch.Client, next *operator.Settings, log zerolog.Logger) bool {
	if channel == nil || next.ChannelAddress == "" {
		return c.settings.ChannelAddress == next.ChannelAddress
	}
	c.settings.ChannelAddress = next.ChannelAddress
	if err := channel.ApplyKnown(next.Events); err != nil {
		log.Warn().Err(err).Msg("known endpoint list rejected")
	}
	channel.SetAddress(c.settings.ChannelAddress)
	return true
}
