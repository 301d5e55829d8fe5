package main

import (
	"strings"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/sharedwork"
)

// What a fleet divides is named by these.
const (
	teamQuantity    = sharedwork.TeamQuantityPrefix
	enginesQuantity = "engines"
	retryQuantity   = "further dispatches"
)

// fleetSection is the section of the operator's settings on the fleet.
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

// fleetOptions is what the settings say of the fleet, nil where they have not been read.
func fleetOptions(s *operator.Settings) *fleet.Options {
	f, _ := s.Sections[fleetSection.Name].(*fleet.Options)
	return f
}

// quotaUser has a gateway use the quotas of its fleet.
type quotaUser struct {
	gateway *gateway.Gateway
	options *fleet.Options
}

// Usage is what the gateway uses of each quantity.
func (s quotaUser) Usage() (uses []fleet.Usage) {
	for _, q := range s.options.Quantities {
		var u gateway.Usage
		team, is := strings.CutPrefix(q.Name, teamQuantity)
		switch {
		case is:
			u = s.gateway.TeamUsage(team)
		case q.Name == retryQuantity:
			u = s.gateway.RetryUsage()
		default:
			u = s.gateway.EngineUsage()
		}
		uses = append(uses, fleet.Usage{Quantity: q.Name, Used: u.Used, Demand: u.Demand})
	}
	return uses
}

// SetQuotas passes on what the gateway may use.
func (s quotaUser) SetQuotas(shares []fleet.Quota) {
	for _, share := range shares {
		part := gateway.Quota{Limit: share.Limit, Leased: share.LeaseValid}
		team, is := strings.CutPrefix(share.Quantity, teamQuantity)
		switch {
		case is:
			s.gateway.SetTeamQuota(team, part)
		case share.Quantity == retryQuantity:
			s.gateway.SetRetryQuota(part)
		default:
			s.gateway.SetEngineQuota(part)
		}
	}
}
