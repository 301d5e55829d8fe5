package main

import (
	"strings"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/sharedwork"
)

// The names of the quantities that a fleet divides.
const (
	teamQuantity    = sharedwork.TeamQuantityPrefix
	enginesQuantity = "engines"
	retryQuantity   = "further dispatches"
)

// fleetSection is the section "fleet" of the operator's settings.
var fleetSection = operator.Section{Name: "fleet", Text: fleet.SectionText, Declare: declareFleet}

func declareFleet(s *operator.Settings, o *schema.Object) any {
	options := &fleet.Options{Self: s.Name}
	options.Declare(o)
	for _, b := range s.Teams.Budgets {
		switch {
		case b.FleetWide && !options.Enabled():
			o.AddError("voters", "are missing: team %s has a budget of scope fleet", b.Name)
		case b.FleetWide:
			options.AddOccupancy(teamQuantity+b.Name, b.Limit)
		}
	}
	if options.DivideEngines && options.Enabled() {
		options.AddOccupancy(enginesQuantity, 1)
	}
	if options.RetryBudget > 0 && options.Enabled() {
		window := s.Settings.Admission.RetryBudgetWindow
		options.AddRate(retryQuantity, options.RetryBudget, window)
		if window == 0 {
			o.AddError("further", "needs deployment.rules.further_window, over which it is counted")
		}
	}
	return options
}

// fleetOptions returns the settings of the fleet, or nil if the section was not read.
func fleetOptions(s *operator.Settings) *fleet.Options {
	options, _ := s.Sections[fleetSection.Name].(*fleet.Options)
	return options
}

// quotaUser implements fleet.QuotaUser for a gateway.
type quotaUser struct {
	gateway *gateway.Gateway
	options *fleet.Options
}

// Usage implements fleet.QuotaUser.
func (q quotaUser) Usage() (usages []fleet.Usage) {
	for _, quantity := range q.options.Quantities {
		var u gateway.Usage
		team, isTeam := strings.CutPrefix(quantity.Name, teamQuantity)
		switch {
		case isTeam:
			u = q.gateway.TeamUsage(team)
		case quantity.Name == retryQuantity:
			u = q.gateway.RetryUsage()
		default:
			u = q.gateway.EngineUsage()
		}
		usages = append(usages, fleet.Usage{Quantity: quantity.Name, Used: u.Used, Demand: u.Demand})
	}
	return usages
}

// SetQuotas implements fleet.QuotaUser.
func (q quotaUser) SetQuotas(quotas []fleet.Quota) {
	for _, fleetQuota := range quotas {
		quota := gateway.Quota{Limit: fleetQuota.Limit, Leased: fleetQuota.LeaseValid}
		team, isTeam := strings.CutPrefix(fleetQuota.Quantity, teamQuantity)
		switch {
		case isTeam:
			q.gateway.SetTeamQuota(team, quota)
		case fleetQuota.Quantity == retryQuantity:
			q.gateway.SetRetryQuota(quota)
		default:
			q.gateway.SetEngineQuota(quota)
		}
	}
}
