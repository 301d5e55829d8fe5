package main

import (
	"reflect"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery/watch"
	"copperrock.example/copperrock/internal/gateway"
)

// reload rereads all settings and applies those that may change while the program runs: the channel's address and the teams'
// budgets. Invalid settings change nothing.
func (c *controller) reload(g *gateway.Gateway, channel *watch.Client, log zerolog.Logger) {
	next, err := c.readSettings()
	if err != nil {
		log.Warn().Err(err).Msg("configuration rejected, keeping the current one")
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

// changedSections returns the names of the changed settings that only a restart applies.
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
		{"teams, except the budgets", current.Teams.Options, next.Teams.Options},
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

// reloadBudgets applies the budgets. It returns false if that needs a restart, because only the old or only the new settings have
// budgets.
func (c *controller) reloadBudgets(g *gateway.Gateway, next *operator.Settings, log zerolog.Logger) bool {
	current := &c.settings.Teams
	if len(current.Budgets) == 0 || len(next.Teams.Budgets) == 0 {
		return len(current.Budgets) == len(next.Teams.Budgets)
	}
	if err := g.UpdateBudgets(next.Teams.Budgets); err != nil {
		log.Warn().Err(err).Msg("budgets rejected, keeping the current ones")
		return true
	}
	current.Budgets = next.Teams.Budgets
	return true
}

// reloadChannel connects to the channel at its new address. It returns false if that needs a restart.
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
